#pragma once

#include "configuration/objecttable.h"
#include "errors/result.h"
#include "operations/report.h"

#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Operations {

/// Reports that the log could not be read. `consequence` says what that means for the command.
Report logFailure(const Errors::Error &error, const std::string &consequence);
/// Reports errors in files, one per line.
Report fileFailure(const Schema::SettingsErrors &errors);

/// Returns `{"kind", "name"}`.
Json jsonOf(const Configuration::ObjectKey &key);
/// Makes a key from the operands KIND and NAME. Returns nothing if the kind is unknown.
std::optional<Configuration::ObjectKey> parseObjectKey(const std::string &kind,
                                                       const std::string &name);
/// Reports an unknown kind and lists the valid ones.
Report unknownKind(const std::string &kind);

/// Quotes the text as one word for a POSIX shell.
std::string shellQuote(const std::string &text);

/// Percent-encodes all characters except letters, digits and `-._~` for use in a query.
std::string percentEncode(std::string_view text);

} // namespace Lagoonbank::Operations
