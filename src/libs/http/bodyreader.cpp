#include "http/bodyreader.h"

#include "http/messagesyntax.h"

#include <algorithm>

namespace Lagoonbank::Http::Internal {

namespace {

/// A chunk's size with its extensions; no sender needs more.
constexpr std::size_t maxChunkLine = 1024;
/// Trailer fields are read over; more than this is no trailer but an attack on the reader.
constexpr std::size_t maxTrailerBytes = 16 * 1024;

} // namespace

std::size_t BodyReader::take(std::string_view input)
{
    m_piece = {};
    if (m_isWhole || m_error)
        return 0;
    return m_framing == Framing::Chunked ? takeChunked(input) : takeSized(input);
}

void BodyReader::takeEnd()
{
    if (m_framing == Framing::Connection)
        m_isWhole = true;
    else if (!m_isWhole && !m_error)
        fail("the connection was closed before the body was whole");
}

std::size_t BodyReader::takeSized(std::string_view input)
{
    if (m_framing == Framing::Connection) {
        m_piece = input;
        return input.size();
    }
    m_piece = input.substr(0, std::min<std::uint64_t>(m_left, input.size()));
    m_left -= m_piece.size();
    m_isWhole = m_left == 0;
    return m_piece.size();
}

std::size_t BodyReader::takeChunked(std::string_view input)
{
    if (m_chunk == Chunk::Data) {
        m_piece = input.substr(0, std::min<std::uint64_t>(m_left, input.size()));
        m_left -= m_piece.size();
        if (m_left == 0)
            m_chunk = Chunk::DataEnd;
        return m_piece.size();
    }
    const std::size_t end = input.find(lineEnd);
    if (end == std::string_view::npos)
        return input.size() > maxChunkLine ? fail("a chunk's line is too long") : 0;
    const std::string_view line = input.substr(0, end);
    switch (m_chunk) {
    case Chunk::Size:
        if (!readChunkSize(line))
            return fail("a chunk's size is malformed");
        m_chunk = m_left > 0 ? Chunk::Data : Chunk::Trailer;
        break;
    case Chunk::DataEnd:
        if (!line.empty())
            return fail("a chunk is longer than its size");
        m_chunk = Chunk::Size;
        break;
    case Chunk::Trailer:
        m_trailerBytes += line.size();
        if (m_trailerBytes > maxTrailerBytes)
            return fail("the trailer is too long");
        m_isWhole = line.empty();
        break;
    case Chunk::Data:
        break;
    }
    return end + lineEnd.size();
}

bool BodyReader::readChunkSize(std::string_view line)
{
    const std::string_view digits = trimmed(line.substr(0, line.find(';')));
    return isSafeHeaderValue(line) && readNumber(digits, 16, m_left);
}

std::size_t BodyReader::fail(const char *error)
{
    m_error = error;
    return 0;
}

} // namespace Lagoonbank::Http::Internal
