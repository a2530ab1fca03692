#include "schema/jsonwriter.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>

namespace Lagoonbank::Schema {

namespace {

/// Whether the text can be written without quotes and is still read as the same text.
bool needsNoQuotes(const std::string &text)
{
    static constexpr std::array<std::string_view, 10> reserved{
        "true", "false", "null", "yes", "no", "on", "off", "y", "n", "nan"};
    const auto isLetter = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); };
    if (text.empty() || !isLetter(text.front()))
        return false;
    std::string lower = text;
    std::ranges::transform(lower, lower.begin(),
                           [](char c) { return c >= 'A' && c <= 'Z' ? char(c + 32) : c; });
    if (std::ranges::find(reserved, lower) != reserved.end())
        return false;
    return std::ranges::all_of(text, [&](char c) {
        return isLetter(c) || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    });
}

void emitText(YAML::Emitter &emitter, const std::string &text)
{
    if (needsNoQuotes(text))
        emitter << text;
    else
        emitter << YAML::DoubleQuoted << text;
}

void emit(YAML::Emitter &emitter, const nlohmann::ordered_json &json)
{
    if (json.is_object()) {
        emitter << YAML::BeginMap;
        for (const auto &[key, value] : json.items()) {
            emitter << YAML::Key;
            emitText(emitter, key);
            emitter << YAML::Value;
            emit(emitter, value);
        }
        emitter << YAML::EndMap;
    } else if (json.is_array()) {
        const bool isFlat =
            std::ranges::none_of(json, [](const auto &item) { return item.is_structured(); });
        emitter << (isFlat ? YAML::Flow : YAML::Block) << YAML::BeginSeq;
        for (const nlohmann::ordered_json &item : json)
            emit(emitter, item);
        emitter << YAML::EndSeq;
    } else if (json.is_string()) {
        emitText(emitter, json.get_ref<const std::string &>());
    } else {
        emitter << json.dump();
    }
}

} // namespace

std::string toYamlText(const nlohmann::ordered_json &json)
{
    YAML::Emitter emitter;
    emit(emitter, json);
    return std::string(emitter.c_str()) + "\n";
}

} // namespace Lagoonbank::Schema
