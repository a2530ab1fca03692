#pragma once

#include "errors/result.h"

#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace Lagoonbank::Schema {

/// Encodes a generated message in cereal's portable binary form. Fails with BadMessage if a bound
/// is exceeded.
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

/// Decodes the result of encodeMessage(). Fails with BadMessage if the body is malformed or has
/// trailing bytes.
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

/// Returns the version of a message that is not decoded yet; empty if the message is too short to
/// contain it.
inline std::optional<std::uint8_t> messageVersion(std::string_view body)
{
    // The archive begins with one byte for the byte order.
    constexpr std::size_t versionOffset = 1;
    if (body.size() <= versionOffset)
        return std::nullopt;
    return static_cast<std::uint8_t>(body[versionOffset]);
}

} // namespace Lagoonbank::Schema
