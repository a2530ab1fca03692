#include "http/bodyreader.h"

#include "http/messagesyntax.h"

#include <algorithm>

namespace Lagoonbank::Http::Internal {

namespace {

/// Limit for a chunk's size with its extensions; longer than any sender needs.
constexpr std::size_t maxChunkLineBytes = 1024;
/// Maximum size of the lines of chunks, with their extensions, beyond that of their data.
constexpr std::size_t maxExcessLineBytes = 16 * 1024;
/// Trailer fields are skipped. A longer trailer is treated as an attack.
constexpr std::size_t maxTrailerBytes = 16 * 1024;

} // namespace

std::size_t BodyReader::consume(std::string_view input)
{
    m_piece = {};
    if (m_isComplete || m_error)
        return 0;
    return m_framing == Framing::Chunked ? consumeChunked(input) : consumeSized(input);
}

void BodyReader::handleClose()
{
    if (m_framing == Framing::Connection)
        m_isComplete = true;
    else if (!m_isComplete && !m_error)
        fail("the connection was closed before the body was whole");
}

std::size_t BodyReader::consumeSized(std::string_view input)
{
    if (m_framing == Framing::Connection) {
        m_piece = input;
        return input.size();
    }
    m_piece = input.substr(0, std::min<std::uint64_t>(m_remaining, input.size()));
    m_remaining -= m_piece.size();
    m_isComplete = m_remaining == 0;
    return m_piece.size();
}

std::size_t BodyReader::consumeChunked(std::string_view input)
{
    if (m_chunk == Chunk::Data) {
        m_piece = input.substr(0, std::min<std::uint64_t>(m_remaining, input.size()));
        m_remaining -= m_piece.size();
        m_excessLineBytes -= std::min(m_excessLineBytes, m_piece.size());
        if (m_remaining == 0)
            m_chunk = Chunk::DataEnd;
        return m_piece.size();
    }
    const std::size_t end = input.find(lineEnd);
    if (end == std::string_view::npos)
        return input.size() > maxChunkLineBytes ? fail("a chunk's line is too long") : 0;
    const std::string_view line = input.substr(0, end);
    switch (m_chunk) {
    case Chunk::Size:
        if (!readChunkSize(line))
            return fail("a chunk's size is malformed");
        m_chunk = m_remaining > 0 ? Chunk::Data : Chunk::Trailer;
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
        m_isComplete = line.empty();
        break;
    case Chunk::Data:
        break;
    }
    return end + lineEnd.size();
}

bool BodyReader::readChunkSize(std::string_view line)
{
    const std::string_view digits = trimmed(line.substr(0, line.find(';')));
    m_excessLineBytes += line.size();
    return isSafeHeaderValue(line) && readNumber(digits, 16, m_remaining)
        && m_excessLineBytes <= maxExcessLineBytes;
}

std::size_t BodyReader::fail(const char *error)
{
    m_error = error;
    return 0;
}

} // namespace Lagoonbank::Http::Internal
