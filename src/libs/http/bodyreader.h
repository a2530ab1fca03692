#pragma once

#include "http/framing.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Lagoonbank::Http::Internal {

/// Decodes the body of one HTTP/1.1 message from the bytes of a connection.
class BodyReader
{
public:
    BodyReader() = default;
    explicit BodyReader(Framing framing, std::uint64_t length = 0)
        : m_framing(framing)
        , m_remaining(length)
        , m_isComplete(framing == Framing::Length && length == 0)
    { }

    /// Consumes bytes from the front of \a input and returns their number. Stops after each piece,
    /// so call it again until it returns 0. piece() is valid until \a input changes.
    std::size_t consume(std::string_view input);
    /// Handles an orderly close of the connection.
    void handleClose();

    Framing framing() const { return m_framing; }
    std::string_view piece() const { return m_piece; }
    bool isComplete() const { return m_isComplete; }
    /// Reason why the body is malformed, or null.
    const char *error() const { return m_error; }

private:
    enum class Chunk : std::uint8_t { Size, Data, DataEnd, Trailer };

    std::size_t consumeSized(std::string_view input);
    std::size_t consumeChunked(std::string_view input);
    bool readChunkSize(std::string_view line);
    std::size_t fail(const char *error);

    Framing m_framing = Framing::Length;
    Chunk m_chunk = Chunk::Size;
    std::uint64_t m_remaining = 0; ///< Bytes of the body or chunk that are still to be read.
    bool m_isComplete = true;
    /// Bytes of the chunks' lines that exceed those of their data.
    std::size_t m_excessLineBytes = 0;
    std::size_t m_trailerBytes = 0;
    std::string_view m_piece;
    const char *m_error = nullptr;
};

} // namespace Lagoonbank::Http::Internal
