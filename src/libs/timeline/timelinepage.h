#pragma once

#include <string_view>

namespace Lagoonbank::Timeline::Internal {

/// Template of the page that renderHtml() returns. It replaces `@TITLE@` and `@EVENTS@`.
extern const std::string_view timelinePage;

} // namespace Lagoonbank::Timeline::Internal
