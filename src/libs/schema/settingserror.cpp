#include "schema/settingserror.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace Lagoonbank::Schema {

std::ostream &operator<<(std::ostream &stream, const SettingsError &error)
{
    return stream << error.file << ':' << error.line << ": " << error.text;
}

std::string toText(const SettingsErrors &errors)
{
    std::ostringstream text;
    for (const SettingsError &error : errors)
        text << error << '\n';
    return text.str();
}

ReadResult<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file.peek() != std::ifstream::traits_type::eof())
        text << file.rdbuf();
    if (!file.is_open() || file.bad() || text.bad()) {
        return SettingsErrors{{path, 1,
                               std::string("cannot be read: ") + std::strerror(errno)
                                   + "; give the path of a readable file"}};
    }
    return text.str();
}

std::string Source::locationOf(const std::string &key) const
{
    const auto it = lines.find(key);
    return file + ":" + std::to_string(it == lines.end() ? line : it->second);
}

} // namespace Lagoonbank::Schema
