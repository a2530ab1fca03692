#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Lagoonbank::Http::Internal {

/// Reads the body of one HTTP/1.1 message from the bytes of a connection.
class BodyReader
{
public:
    enum class Framing : std::uint8_t {
        Length, ///< A known number of bytes; none for an empty body.
        Chunked,
        Connection ///< Until the connection is closed in order.
    };

    BodyReader() = default;
    explicit BodyReader(Framing framing, std::uint64_t length = 0)
        : m_framing(framing)
        , m_left(length)
        , m_isWhole(framing == Framing::Length && length == 0)
    { }

    /// Takes bytes from the front of \a input and returns how many. Stops after each piece, so call
    /// it again while it takes any; piece() is valid until \a input changes.
    std::size_t take(std::string_view input);
    /// The connection was closed in order.
    void takeEnd();

    Framing framing() const { return m_framing; }
    std::string_view piece() const { return m_piece; }
    bool isWhole() const { return m_isWhole; }
    /// What is wrong with the bytes; null if nothing.
    const char *error() const { return m_error; }

private:
    enum class Chunk : std::uint8_t { Size, Data, DataEnd, Trailer };

    std::size_t takeSized(std::string_view input);
    std::size_t takeChunked(std::string_view input);
    bool readChunkSize(std::string_view line);
    std::size_t fail(const char *error);

    Framing m_framing = Framing::Length;
    Chunk m_chunk = Chunk::Size;
    std::uint64_t m_left = 0; ///< Bytes of the body, or of the chunk, still to come.
    bool m_isWhole = true;
    std::size_t m_trailerBytes = 0;
    std::string_view m_piece;
    const char *m_error = nullptr;
};

} // namespace Lagoonbank::Http::Internal
