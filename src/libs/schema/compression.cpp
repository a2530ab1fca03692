#include "schema/compression.h"

#include <zlib.h>

#include <algorithm>
#include <new>

namespace Lagoonbank::Schema {

namespace {

/// Of the text that is made at first; it grows as needed.
constexpr std::size_t firstBytes = 64 * 1024;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}

/// Whether zlib has got to the end of \a packed; \a text is as long as it makes it.
Errors::Result<void> inflateAll(z_stream &stream, std::size_t mostBytes, std::string &text)
{
    while (true) {
        if (stream.total_out >= mostBytes)
            return Errors::makeError(Errors::ErrorKind::BadMessage, "more bytes than are allowed");
        text.resize(std::min(mostBytes, std::max(firstBytes, 2 * text.size())));
        stream.next_out = bytesOf(text) + stream.total_out;
        stream.avail_out = static_cast<uInt>(text.size() - stream.total_out);
        const int status = inflate(&stream, Z_NO_FLUSH);
        if (status == Z_STREAM_END)
            break;
        const bool wantsRoom = status == Z_OK && stream.avail_out == 0;
        if (!wantsRoom) {
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
    std::string packed(size, '\0');
    // With a buffer of the size that zlib asks for, only a lack of memory can stop it.
    if (compress2(bytesOf(packed), &size, bytesOf(text), text.size(), Z_BEST_SPEED) != Z_OK)
        throw std::bad_alloc();
    packed.resize(size);
    return packed;
}

Errors::Result<std::string> decompress(std::string_view packed, std::size_t mostBytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        return Errors::makeError(Errors::ErrorKind::Internal, "zlib has no memory");
    stream.next_in = const_cast<Bytef *>(bytesOf(packed));
    stream.avail_in = static_cast<uInt>(packed.size());
    std::string text;
    const Errors::Result<void> done = inflateAll(stream, mostBytes, text);
    const bool hasMore = stream.avail_in > 0;
    inflateEnd(&stream);
    if (!done)
        return done.error();
    if (hasMore)
        return Errors::makeError(Errors::ErrorKind::BadMessage, "bytes after the end");
    return text;
}

} // namespace Lagoonbank::Schema
