#pragma once

#include <string_view>

namespace Lagoonbank::Timeline::Internal {

/// The page of renderHtml(); `@TITLE@` and `@EVENTS@` are filled in.
extern const std::string_view timelinePage;

} // namespace Lagoonbank::Timeline::Internal
