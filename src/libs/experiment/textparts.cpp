#include "experiment/textparts.h"

namespace Lagoonbank::Experiment::Internal {

std::vector<std::string_view> splitParts(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        const std::string_view part = text.substr(0, end);
        if (!part.empty())
            parts.push_back(part);
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return parts;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view space = " \t\r\n";
    const std::size_t first = text.find_first_not_of(space);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(space) - first + 1);
}

} // namespace Lagoonbank::Experiment::Internal
