#pragma once

#include <map>
#include <string>

/// Returns the text of a JSON object with these fields, whose values are JSON texts themselves.
inline std::string jsonObject(const std::map<std::string, std::string> &fields)
{
    std::string json = "{";
    for (const auto &[name, value] : fields) {
        json += json.size() > 1 ? ",\"" : "\"";
        json += name;
        json += "\":";
        json += value;
    }
    json += "}";
    return json;
}

/// Returns a JSON string of \a size characters.
inline std::string jsonString(std::size_t size)
{
    return '"' + std::string(size, 'x') + '"';
}
