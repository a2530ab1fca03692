#pragma once

#include "errors/result.h"

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace Lagoonbank::Schema {

/// A generated message in cereal's portable binary form; BadMessage if a bound is exceeded.
template<typename T>
Errors::Result<std::string> encodeMessage(const T &message)
{
    try {
        std::ostringstream stream(std::ios::binary);
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
        return std::move(stream).str();
    } catch (const cereal::Exception &exception) {
        return Errors::makeError(Errors::ErrorKind::BadMessage, exception.what());
    }
}

/// The reverse; BadMessage for what cannot be read or has bytes left over.
template<typename T>
Errors::Result<T> decodeMessage(std::string_view body)
{
    try {
        std::istringstream stream{std::string(body), std::ios::binary};
        cereal::PortableBinaryInputArchive archive(stream);
        T message;
        archive(message);
        if (stream.peek() != std::istringstream::traits_type::eof())
            return Errors::makeError(Errors::ErrorKind::BadMessage, "bytes after the end");
        return message;
    } catch (const cereal::Exception &exception) {
        return Errors::makeError(Errors::ErrorKind::BadMessage, exception.what());
    }
}

/// The version that a message names, before it is decoded; nothing if it is cut before that.
inline std::optional<std::uint8_t> messageVersion(std::string_view body)
{
    // The archive begins with the byte order.
    constexpr std::size_t versionAt = 1;
    if (body.size() <= versionAt)
        return std::nullopt;
    return static_cast<std::uint8_t>(body[versionAt]);
}

} // namespace Lagoonbank::Schema
