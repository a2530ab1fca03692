#include "http/answerparser.h"

#include <algorithm>
#include <charconv>

namespace Lagoonbank::Http::Internal {

namespace {

constexpr std::size_t maxHeadBytes = 64 * 1024;
constexpr std::size_t maxFields = 200;
constexpr std::size_t maxChunkLine = 1024;
constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string lowered(std::string_view text)
{
    std::string lower(text);
    for (char &c : lower) {
        if (c >= 'A' && c <= 'Z')
            c = static_cast<char>(c - 'A' + 'a');
    }
    return lower;
}

bool readNumber(std::string_view text, int base, std::uint64_t &number)
{
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number, base);
    return !text.empty() && error == std::errc() && stop == end;
}

bool hasNoBody(int status)
{
    return status == 204 || status == 304;
}

} // namespace

std::size_t AnswerParser::take(std::string_view input)
{
    m_piece = {};
    switch (m_state) {
    case State::Head:
        return takeHead(input);
    case State::Body:
        return m_framing == Framing::Chunked ? takeChunked(input) : takeSized(input);
    case State::Whole:
    case State::Failed:
        break;
    }
    return 0;
}

void AnswerParser::takeEnd()
{
    if (m_state == State::Body && m_framing == Framing::Connection)
        m_state = State::Whole;
    else if (m_state != State::Whole && m_state != State::Failed)
        fail("the connection was closed before the answer was whole");
}

std::size_t AnswerParser::takeHead(std::string_view input)
{
    const std::size_t end = input.find(headEnd);
    if (end == std::string_view::npos) {
        if (input.size() > maxHeadBytes)
            return fail("the answer's head is too large");
        return 0;
    }
    std::string_view head = input.substr(0, end + lineEnd.size());
    bool isFirst = true;
    m_headers = {};
    while (!head.empty()) {
        const std::size_t length = head.find(lineEnd);
        const std::string_view line = head.substr(0, length);
        head.remove_prefix(length + lineEnd.size());
        const bool isRead = isFirst ? readStatusLine(line) : readField(line);
        if (!isRead)
            return fail("the answer's head is malformed");
        isFirst = false;
    }
    const std::size_t taken = end + headEnd.size();
    const bool isInterim = m_status >= 100 && m_status < 200;
    if (isInterim && m_status != 101) {
        m_status = 0;
        return taken; // Interim answers are passed over; the final one follows.
    }
    if (isInterim || !readFraming())
        return fail("the answer's framing is malformed");
    const bool isEmpty = m_framing == Framing::Length && m_left == 0;
    m_state = isEmpty ? State::Whole : State::Body;
    return taken;
}

bool AnswerParser::readStatusLine(std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    if (line.size() < 12 || !line.starts_with(version) || line[8] != ' ')
        return false;
    if (line[7] != '0' && line[7] != '1')
        return false;
    m_isReusable = line[7] == '1';
    std::uint64_t status = 0;
    if (!readNumber(line.substr(9, 3), 10, status) || status < 100 || status > 599)
        return false;
    m_status = static_cast<int>(status);
    return line.size() == 12 || (line[12] == ' ' && isSafeHeaderValue(line.substr(13)));
}

bool AnswerParser::readField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || m_headers.fields().size() >= maxFields)
        return false;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!isSafeHeaderName(name) || !isSafeHeaderValue(value))
        return false;
    m_headers.add(name, value);
    return true;
}

bool AnswerParser::readFraming()
{
    bool hasLength = false;
    bool isChunked = false;
    for (const Header &field : m_headers.fields()) {
        if (field.name == "content-length") {
            std::uint64_t length = 0;
            if (!readNumber(field.value, 10, length) || (hasLength && length != m_left))
                return false;
            hasLength = true;
            m_left = length;
        } else if (field.name == "transfer-encoding") {
            if (isChunked || lowered(field.value) != "chunked")
                return false;
            isChunked = true;
        } else if (field.name == "connection" && lowered(field.value) != "keep-alive") {
            m_isReusable = false;
        }
    }
    if (hasLength && isChunked)
        return false;
    if (m_isAnswerToHead || hasNoBody(m_status)) {
        m_left = 0;
        m_framing = Framing::Length;
    } else if (isChunked) {
        m_framing = Framing::Chunked;
    } else if (!hasLength) {
        m_framing = Framing::Connection;
        m_isReusable = false;
    }
    return true;
}

std::size_t AnswerParser::takeSized(std::string_view input)
{
    if (m_framing == Framing::Connection) {
        m_piece = input;
        return input.size();
    }
    m_piece = input.substr(0, std::min<std::uint64_t>(m_left, input.size()));
    m_left -= m_piece.size();
    if (m_left == 0)
        m_state = State::Whole;
    return m_piece.size();
}

std::size_t AnswerParser::takeChunked(std::string_view input)
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
        if (line.empty())
            m_state = State::Whole;
        break;
    case Chunk::Data:
        break;
    }
    return end + lineEnd.size();
}

bool AnswerParser::readChunkSize(std::string_view line)
{
    const std::string_view digits = trimmed(line.substr(0, line.find(';')));
    return isSafeHeaderValue(line) && readNumber(digits, 16, m_left);
}

std::size_t AnswerParser::fail(const char *error)
{
    m_state = State::Failed;
    m_isReusable = false;
    m_error = error;
    return 0;
}

} // namespace Lagoonbank::Http::Internal
