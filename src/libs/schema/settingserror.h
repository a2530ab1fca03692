#pragma once

#include <boost/outcome/result.hpp>

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace Lagoonbank::Schema {

/// Error in a settings or configuration file.
struct SettingsError
{
    std::string file;
    int line = 0; ///< Line number, counted from 1.
    std::string text; ///< Description of the error and of how to correct it.

    bool operator==(const SettingsError &) const = default;
};

using SettingsErrors = std::vector<SettingsError>;

/// Writes `file:line: text`.
std::ostream &operator<<(std::ostream &stream, const SettingsError &error);

/// Returns all errors, one per line.
std::string toText(const SettingsErrors &errors);

/// Result of reading, or all errors that were found.
template<typename T>
using ReadResult =
    boost::outcome_v2::basic_result<T, SettingsErrors, boost::outcome_v2::policy::terminate>;

/// Returns the content of a file.
ReadResult<std::string> readTextFile(const std::string &path);

/// Location of an object and of each of its top-level fields.
struct Source
{
    std::string file;
    int line = 0; ///< First line of the object.
    std::map<std::string, int> lines; ///< Line of each field by YAML key.

    /// Returns `file:line` of the field, or of the object if the field is not set there.
    std::string locationOf(const std::string &key) const;

    /// Always true, so that the location of an object does not affect comparisons of objects.
    bool operator==(const Source &) const { return true; }
};

} // namespace Lagoonbank::Schema
