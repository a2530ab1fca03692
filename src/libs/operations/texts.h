#pragma once

#include "configuration/objecttable.h"
#include "errors/result.h"
#include "operations/report.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Operations {

/// The log could not be read; `consequence` says what that means for the command.
Report logFailure(const Errors::Error &error, const std::string &consequence);
/// Mistakes in files, one a line.
Report fileFailure(const Schema::SettingsErrors &errors);

/// `{"kind", "name"}`
Json jsonOf(const Configuration::ObjectKey &key);
/// The key that the words KIND and NAME give, or what is wrong with the kind.
std::optional<Configuration::ObjectKey> parseObjectKey(const std::string &kind,
                                                       const std::string &name);
/// Says which kinds there are.
Report unknownKind(const std::string &kind);

/// The text as one word of a POSIX shell.
std::string shellQuote(const std::string &text);

/// Escapes all but letters, digits and `-._~` for a query.
std::string percentEncode(std::string_view text);

} // namespace Lagoonbank::Operations
