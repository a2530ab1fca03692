#pragma once

#include "base/strongtype.h"
#include "base/units.h"
#include "schema/enumname.h"
#include "schema/typetraits.h"

#include <cereal/cereal.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Compact binary format of messages in a cereal archive. Counts and integers are variable-length
/// integers. Each list and text has a bound, which is checked before memory is allocated. The
/// functions throw cereal::Exception on malformed input.
namespace Lagoonbank::Schema {

/// Bound of lists and texts for which the schema specifies none.
inline constexpr std::size_t defaultMaxItems = 65536;

template<typename Archive, typename T>
void wire(Archive &archive, T &value, std::size_t limit = defaultMaxItems);

namespace Internal {

template<typename Archive>
void saveCount(Archive &archive, std::uint64_t value)
{
    constexpr std::uint64_t continuationBit = 0x80;
    while (value >= continuationBit) {
        archive(static_cast<std::uint8_t>(value | continuationBit));
        value >>= 7;
    }
    archive(static_cast<std::uint8_t>(value));
}

template<typename Archive>
std::uint64_t loadCount(Archive &archive)
{
    constexpr unsigned maxShift = 63;
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift <= maxShift; shift += 7) {
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

/// Signed integers use zigzag encoding, so that small negative ones are short.
template<typename Archive, typename T>
void wireInteger(Archive &archive, T &value)
{
    constexpr std::uint64_t allOnes = ~std::uint64_t{0};
    if constexpr (Archive::is_saving::value) {
        auto bits = static_cast<std::uint64_t>(value);
        if constexpr (std::signed_integral<T>)
            bits = (bits << 1) ^ (value < 0 ? allOnes : 0);
        saveCount(archive, bits);
    } else if constexpr (std::signed_integral<T>) {
        const std::uint64_t bits = loadCount(archive);
        const auto wide = static_cast<std::int64_t>((bits >> 1) ^ ((bits & 1) ? allOnes : 0));
        if (!std::in_range<T>(wide))
            throw cereal::Exception("a number is out of its range");
        value = static_cast<T>(wide);
    } else {
        const std::uint64_t bits = loadCount(archive);
        if (!std::in_range<T>(bits))
            throw cereal::Exception("a number is out of its range");
        value = static_cast<T>(bits);
    }
}

template<typename Archive>
void wireBool(Archive &archive, bool &value)
{
    auto byte = static_cast<std::uint8_t>(value);
    archive(byte);
    if (byte > 1)
        throw cereal::Exception("a truth value is neither 0 nor 1");
    value = byte == 1;
}

template<typename Archive, typename T>
void wireEnum(Archive &archive, T &value)
{
    auto index = static_cast<std::uint8_t>(value);
    archive(index);
    if (index >= enumNames(T{}).size())
        throw cereal::Exception("a choice is unknown");
    value = static_cast<T>(index);
}

template<typename Archive>
void wireText(Archive &archive, std::string &value, std::size_t limit)
{
    constexpr std::size_t chunkSize = 4096;
    const std::size_t size = wireSize(archive, value.size(), limit);
    if constexpr (Archive::is_saving::value) {
        archive(cereal::binary_data(value.data(), size));
    } else {
        // The text is read in chunks, so that a truncated message that announces a long text does
        // not cause the allocation of that much memory.
        value.clear();
        while (value.size() < size) {
            const std::size_t begin = value.size();
            value.resize(std::min(size, begin + chunkSize));
            archive(cereal::binary_data(value.data() + begin, value.size() - begin));
        }
    }
}

template<typename Archive, typename T>
void wireOptional(Archive &archive, std::optional<T> &value, std::size_t limit)
{
    bool hasValue = value.has_value();
    wireBool(archive, hasValue);
    if (!hasValue) {
        value.reset();
        return;
    }
    if (!value)
        value.emplace();
    wire(archive, *value, limit);
}

template<typename Archive, typename T>
void wireList(Archive &archive, std::vector<T> &value, std::size_t limit)
{
    const std::size_t size = wireSize(archive, value.size(), limit);
    if constexpr (Archive::is_loading::value) {
        value.clear();
        for (std::size_t i = 0; i < size; ++i)
            wire(archive, value.emplace_back(), defaultMaxItems);
    } else {
        for (T &item : value)
            wire(archive, item, defaultMaxItems);
    }
}

template<typename Archive, typename T>
void wireMap(Archive &archive, std::map<std::string, T> &value, std::size_t limit)
{
    const std::size_t size = wireSize(archive, value.size(), limit);
    if constexpr (Archive::is_loading::value) {
        value.clear();
        for (std::size_t i = 0; i < size; ++i) {
            std::string key;
            wireText(archive, key, defaultMaxItems);
            wire(archive, value[std::move(key)], defaultMaxItems);
        }
    } else {
        for (auto &[key, item] : value) {
            std::string text = key;
            wireText(archive, text, defaultMaxItems);
            wire(archive, item, defaultMaxItems);
        }
    }
}

} // namespace Internal

/// Reads or writes one field. `limit` is the maximum number of items of a list or map, or of bytes
/// of a text.
template<typename Archive, typename T>
void wire(Archive &archive, T &value, std::size_t limit)
{
    using namespace Internal;
    if constexpr (std::same_as<T, bool>) {
        wireBool(archive, value);
    } else if constexpr (std::integral<T>) {
        wireInteger(archive, value);
    } else if constexpr (std::floating_point<T>) {
        archive(value);
    } else if constexpr (std::is_enum_v<T>) {
        wireEnum(archive, value);
    } else if constexpr (std::same_as<T, Base::Duration>) {
        std::int64_t nanoseconds = value.count();
        wireInteger(archive, nanoseconds);
        value = Base::Duration(nanoseconds);
    } else if constexpr (std::same_as<T, std::string>) {
        wireText(archive, value, limit);
    } else if constexpr (TextIdTrait<T>::value) {
        std::string text = value.value();
        wireText(archive, text, limit);
        value = T(std::move(text));
    } else if constexpr (NumberTrait<T>::value) {
        typename NumberTrait<T>::Value number = value.value();
        wire(archive, number, limit);
        value = T(number);
    } else if constexpr (OptionalTrait<T>::value) {
        wireOptional(archive, value, limit);
    } else if constexpr (ListTrait<T>::value) {
        wireList(archive, value, limit);
    } else if constexpr (MapTrait<T>::value) {
        wireMap(archive, value, limit);
    } else {
        serialize(archive, value);
    }
}

/// Writes the version, or reads it and throws if it is not `version`.
template<typename Archive>
void wireVersion(Archive &archive, std::uint8_t version)
{
    std::uint8_t found = version;
    archive(found);
    if (found != version)
        throw cereal::Exception("the message has an unknown version");
}

} // namespace Lagoonbank::Schema
