#pragma once

#include "base/strongtype.h"
#include "base/units.h"
#include "schema/yamlreader.h"

#include <cereal/cereal.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Compact binary form of messages over a cereal archive: counts are variable-length integers, and
/// every list and text has a bound that is checked before memory is taken. Malformed input makes
/// the archive throw cereal::Exception.
namespace Lagoonbank::Schema {

/// Bound on lists and texts for which the schema gives none.
inline constexpr std::size_t defaultMaxItems = 65536;

namespace Internal {

template<typename Archive>
void saveCount(Archive &archive, std::uint64_t value)
{
    constexpr std::uint64_t more = 0x80;
    while (value >= more) {
        archive(static_cast<std::uint8_t>(value | more));
        value >>= 7;
    }
    archive(static_cast<std::uint8_t>(value));
}

template<typename Archive>
std::uint64_t loadCount(Archive &archive)
{
    constexpr unsigned highestShift = 63;
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift <= highestShift; shift += 7) {
        std::uint8_t byte = 0;
        archive(byte);
        value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
        if (!(byte & 0x80))
            return value;
    }
    throw cereal::Exception("a count is too long");
}

template<typename Archive>
std::size_t wireSize(Archive &archive, std::size_t size, std::size_t limit)
{
    if constexpr (Archive::is_saving::value) {
        if (size > limit)
            throw cereal::Exception("a list or text is over its bound");
        saveCount(archive, size);
        return size;
    } else {
        const std::uint64_t count = loadCount(archive);
        if (count > limit)
            throw cereal::Exception("a list or text is over its bound");
        return static_cast<std::size_t>(count);
    }
}

/// Whole numbers in zigzag form, so that small negative ones stay short.
template<typename Archive, typename T>
void wireInteger(Archive &archive, T &value)
{
    constexpr unsigned signShift = 63;
    if constexpr (Archive::is_saving::value) {
        auto bits = static_cast<std::uint64_t>(value);
        if constexpr (std::signed_integral<T>)
            bits = (bits << 1) ^ (value < 0 ? ~std::uint64_t{0} : 0);
        saveCount(archive, bits);
    } else {
        std::uint64_t bits = loadCount(archive);
        if constexpr (std::signed_integral<T>)
            bits = (bits >> 1) ^ ((bits & 1) ? ~std::uint64_t{0} : 0);
        value = static_cast<T>(bits);
        if (static_cast<std::uint64_t>(static_cast<std::int64_t>(value)) != bits
            && static_cast<std::uint64_t>(value) != bits)
            throw cereal::Exception("a number is out of its range");
    }
    static_assert(signShift == 63);
}

} // namespace Internal

template<typename Archive, typename T>
void wire(Archive &archive, T &value, std::size_t limit = defaultMaxItems)
{
    using namespace Internal;
    constexpr bool isLoading = Archive::is_loading::value;
    if constexpr (std::same_as<T, bool>) {
        auto byte = static_cast<std::uint8_t>(value);
        archive(byte);
        if (byte > 1)
            throw cereal::Exception("a truth value is neither 0 nor 1");
        value = byte == 1;
    } else if constexpr (std::integral<T>) {
        wireInteger(archive, value);
    } else if constexpr (std::floating_point<T>) {
        archive(value);
    } else if constexpr (std::is_enum_v<T>) {
        auto index = static_cast<std::uint8_t>(value);
        archive(index);
        if (index >= enumNames(T{}).size())
            throw cereal::Exception("a choice is unknown");
        value = static_cast<T>(index);
    } else if constexpr (std::same_as<T, Base::Duration>) {
        auto count = static_cast<std::int64_t>(value.count());
        wireInteger(archive, count);
        value = Base::Duration(count);
    } else if constexpr (std::same_as<T, std::string>) {
        const std::size_t size = wireSize(archive, value.size(), limit);
        constexpr std::size_t step = 4096;
        if constexpr (isLoading) {
            value.clear();
            while (value.size() < size) {
                const std::size_t begin = value.size();
                value.resize(std::min(size, begin + step));
                archive(cereal::binary_data(value.data() + begin, value.size() - begin));
            }
        } else {
            archive(cereal::binary_data(value.data(), size));
        }
    } else if constexpr (TextIdTrait<T>::value) {
        std::string text = value.value();
        wire(archive, text, limit);
        value = T(std::move(text));
    } else if constexpr (NumberTrait<T>::value) {
        typename NumberTrait<T>::Value number = value.value();
        wire(archive, number);
        value = T(number);
    } else if constexpr (OptionalTrait<T>::value) {
        bool has = value.has_value();
        wire(archive, has);
        if constexpr (isLoading)
            value = has ? T(typename T::value_type{}) : std::nullopt;
        if (has)
            wire(archive, *value, limit);
    } else if constexpr (ListTrait<T>::value) {
        const std::size_t size = wireSize(archive, value.size(), limit);
        if constexpr (isLoading) {
            value.clear();
            for (std::size_t i = 0; i < size; ++i)
                wire(archive, value.emplace_back());
        } else {
            for (auto &item : value)
                wire(archive, item);
        }
    } else if constexpr (MapTrait<T>::value) {
        const std::size_t size = wireSize(archive, value.size(), limit);
        if constexpr (isLoading) {
            value.clear();
            for (std::size_t i = 0; i < size; ++i) {
                std::string key;
                wire(archive, key);
                wire(archive, value[std::move(key)]);
            }
        } else {
            for (auto &[key, item] : value) {
                std::string text = key;
                wire(archive, text);
                wire(archive, item);
            }
        }
    } else {
        serialize(archive, value);
    }
}

/// Writes the version, or reads it and refuses another one than `version`.
template<typename Archive>
void wireVersion(Archive &archive, std::uint8_t version)
{
    std::uint8_t found = version;
    archive(found);
    if (found != version)
        throw cereal::Exception("the message has an unknown version");
}

} // namespace Lagoonbank::Schema
