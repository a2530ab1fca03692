#pragma once

#include "schema/yamlreader.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Lagoonbank::Schema {

/// The JSON value as a YAML document; strings are quoted wherever they could be read as something
/// else.
std::string toYamlText(const nlohmann::ordered_json &json);

namespace Internal {

/// JSON form of one value as the YAML reader takes it.
template<typename T>
nlohmann::ordered_json jsonOf(const T &value)
{
    if constexpr (std::is_arithmetic_v<T> || std::same_as<T, std::string>) {
        return value;
    } else if constexpr (std::same_as<T, Base::Duration>) {
        return Base::toMilliseconds(value);
    } else if constexpr (TextIdTrait<T>::value || NumberTrait<T>::value) {
        return value.value();
    } else if constexpr (std::is_enum_v<T>) {
        return toString(value);
    } else if constexpr (ListTrait<T>::value) {
        nlohmann::ordered_json list = nlohmann::ordered_json::array();
        for (const auto &item : value)
            list.push_back(jsonOf(item));
        return list;
    } else if constexpr (MapTrait<T>::value) {
        nlohmann::ordered_json map = nlohmann::ordered_json::object();
        for (const auto &[key, item] : value)
            map[key] = jsonOf(item);
        return map;
    } else {
        return toJson(value);
    }
}

template<typename T>
void writeField(nlohmann::ordered_json &json, const char *key, const T &value)
{
    json[key] = jsonOf(value);
}

template<typename T>
void writeField(nlohmann::ordered_json &json, const char *key, const std::optional<T> &value)
{
    if (value)
        json[key] = jsonOf(*value);
}

} // namespace Internal

} // namespace Lagoonbank::Schema
