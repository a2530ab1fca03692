#pragma once

#include <boost/outcome/result.hpp>

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace Lagoonbank::Schema {

/// One mistake in a settings or configuration file.
struct SettingsError
{
    std::string file;
    int line = 0; ///< Counted from 1.
    std::string text; ///< What is wrong and what would be right.

    bool operator==(const SettingsError &) const = default;
};

using SettingsErrors = std::vector<SettingsError>;

/// `file:line: text`
std::ostream &operator<<(std::ostream &stream, const SettingsError &error);

/// All errors, one a line.
std::string toText(const SettingsErrors &errors);

/// What was read, or every mistake that was found.
template<typename T>
using ReadResult =
    boost::outcome_v2::basic_result<T, SettingsErrors, boost::outcome_v2::policy::terminate>;

/// The whole file as text.
ReadResult<std::string> readTextFile(const std::string &path);

/// Where an object and each of its top-level fields were written.
struct Source
{
    std::string file;
    int line = 0; ///< First line of the object.
    std::map<std::string, int> lines; ///< By YAML key.

    /// `file:line` of the field, or of the object where the field has its default.
    std::string at(const std::string &key) const;

    /// Where an object stands does not change what it says.
    bool operator==(const Source &) const { return true; }
};

} // namespace Lagoonbank::Schema
