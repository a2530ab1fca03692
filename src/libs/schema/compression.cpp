#include "schema/compression.h"

#include <zlib.h>

#include <algorithm>
#include <new>

namespace Lagoonbank::Schema {

namespace {

/// Initial size of the output buffer, which grows as needed.
constexpr std::size_t initialBytes = 64 * 1024;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}

/// Decompresses all input of the stream into \a text. Fails with BadMessage if the input is
/// malformed or truncated, or the text would be longer than \a maxBytes.
Errors::Result<void> inflateAll(z_stream &stream, std::size_t maxBytes, std::string &text)
{
    while (true) {
        if (stream.total_out >= maxBytes)
            return Errors::makeError(Errors::ErrorKind::BadMessage, "more bytes than are allowed");
        text.resize(std::min(maxBytes, std::max(initialBytes, 2 * text.size())));
        stream.next_out = bytesOf(text) + stream.total_out;
        stream.avail_out = static_cast<uInt>(text.size() - stream.total_out);
        const int status = inflate(&stream, Z_NO_FLUSH);
        if (status == Z_STREAM_END)
            break;
        const bool isBufferFull = status == Z_OK && stream.avail_out == 0;
        if (!isBufferFull) {
            return Errors::makeError(Errors::ErrorKind::BadMessage,
                                     stream.msg ? stream.msg : "compressed bytes end early");
        }
    }
    text.resize(stream.total_out);
    return boost::outcome_v2::success();
}

} // namespace

std::string compress(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string compressed(size, '\0');
    // With a buffer of the size that zlib demands, compression fails only for lack of memory.
    if (compress2(bytesOf(compressed), &size, bytesOf(text), text.size(), Z_BEST_SPEED) != Z_OK)
        throw std::bad_alloc();
    compressed.resize(size);
    return compressed;
}

Errors::Result<std::string> decompress(std::string_view compressed, std::size_t maxBytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        return Errors::makeError(Errors::ErrorKind::Internal, "zlib has no memory");
    stream.next_in = const_cast<Bytef *>(bytesOf(compressed));
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string text;
    const Errors::Result<void> inflated = inflateAll(stream, maxBytes, text);
    const bool hasTrailingBytes = stream.avail_in > 0;
    inflateEnd(&stream);
    if (!inflated)
        return inflated.error();
    if (hasTrailingBytes)
        return Errors::makeError(Errors::ErrorKind::BadMessage, "bytes after the end");
    return text;
}

} // namespace Lagoonbank::Schema
