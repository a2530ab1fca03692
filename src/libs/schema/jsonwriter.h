#pragma once

#include "schema/yamlreader.h"

#include <nlohmann/json.hpp>

#include <string>

namespace Lagoonbank::Schema {

/// Returns the JSON value as a YAML document. Strings that a YAML parser could take for another
/// type are quoted.
std::string toYamlText(const nlohmann::ordered_json &json);

namespace Internal {

/// Returns the JSON form of a value, as the YAML reader accepts it.
template<typename T>
nlohmann::ordered_json toJsonValue(const T &value)
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
            list.push_back(toJsonValue(item));
        return list;
    } else if constexpr (MapTrait<T>::value) {
        nlohmann::ordered_json map = nlohmann::ordered_json::object();
        for (const auto &[key, item] : value)
            map[key] = toJsonValue(item);
        return map;
    } else {
        return toJson(value);
    }
}

template<typename T>
void writeField(nlohmann::ordered_json &json, const char *key, const T &value)
{
    json[key] = toJsonValue(value);
}

template<typename T>
void writeField(nlohmann::ordered_json &json, const char *key, const std::optional<T> &value)
{
    if (value)
        json[key] = toJsonValue(*value);
}

} // namespace Internal

} // namespace Lagoonbank::Schema
