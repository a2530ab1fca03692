#include "http/requestparser.h"

#include "base/text.h"
#include "http/messagesyntax.h"

#include <algorithm>

namespace Lagoonbank::Http::Internal {

namespace {

using Errors::ErrorKind;

/// Whether a line ends in LF without CR. Parsers disagree on whether that ends the line.
bool hasBareLineFeed(std::string_view text, std::size_t from)
{
    for (std::size_t position = text.find('\n', from); position != std::string_view::npos;
         position = text.find('\n', position + 1)) {
        if (position == 0 || text[position - 1] != '\r')
            return true;
    }
    return false;
}

bool isSafeTarget(std::string_view target)
{
    return target.starts_with('/') && isSafeHeaderValue(target)
        && target.find_first_of(" \t") == std::string_view::npos;
}

} // namespace

std::size_t RequestParser::consume(std::string_view input)
{
    switch (m_state) {
    case State::Head:
        return consumeHead(input);
    case State::Body:
        return consumeBody(input);
    case State::Complete:
    case State::Failed:
        break;
    }
    return 0;
}

std::size_t RequestParser::consumeHead(std::string_view input)
{
    if (input.starts_with(lineEnd))
        return lineEnd.size(); // Some senders add an empty line after a body.
    const std::size_t from =
        m_searchedBytes >= headEnd.size() ? m_searchedBytes - headEnd.size() : 0;
    const std::size_t end = input.find(headEnd, from);
    if (hasBareLineFeed(input.substr(0, end), from))
        return fail(ErrorKind::BadRequest);
    if (std::min(end, input.size()) > m_limits.headBytes)
        return fail(ErrorKind::HeadTooLarge);
    if (end == std::string_view::npos) {
        m_searchedBytes = input.size();
        return 0;
    }
    const bool isRead = readHeadLines(
        input.substr(0, end + lineEnd.size()),
        [this](std::string_view line) { return readRequestLine(line); }, m_headers);
    if (!isRead)
        return fail(ErrorKind::BadRequest);
    if (!readFraming())
        return fail(m_error);
    m_state = m_reader.isComplete() ? State::Complete : State::Body;
    m_headBytes = end + headEnd.size();
    return m_headBytes;
}

bool RequestParser::readRequestLine(std::string_view line)
{
    const std::size_t first = line.find(' ');
    const std::size_t last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
        return false;
    m_method = line.substr(0, first);
    m_target = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    m_isHttp10 = version == "HTTP/1.0";
    m_keepsConnection = !m_isHttp10;
    return isSafeHeaderName(m_method) && isSafeTarget(m_target)
        && (m_isHttp10 || version == "HTTP/1.1");
}

bool RequestParser::readFraming()
{
    int hosts = 0;
    bool hasLength = false;
    bool isChunked = false;
    std::uint64_t length = 0;
    m_error = ErrorKind::BadRequest;
    for (const Header &field : m_headers.fields()) {
        if (field.name == "host") {
            ++hosts;
        } else if (field.name == "content-length") {
            if (hasLength || !readNumber(field.value, 10, length))
                return false;
            hasLength = true;
        } else if (field.name == "transfer-encoding") {
            if (isChunked || m_isHttp10 || lowered(field.value) != "chunked")
                return false;
            isChunked = true;
        } else if (field.name == "connection") {
            if (containsToken(field.value, "close"))
                m_keepsConnection = false;
            else if (m_isHttp10 && containsToken(field.value, "keep-alive"))
                m_keepsConnection = true;
        } else if (field.name == "expect") {
            m_awaitsContinue = lowered(field.value) == "100-continue";
        }
    }
    if (hosts > 1 || (hosts == 0 && !m_isHttp10) || (hasLength && isChunked))
        return false;
    if (length > m_limits.bodyBytes) {
        m_error = ErrorKind::BodyTooLarge;
        return false;
    }
    m_reader = isChunked ? BodyReader(Framing::Chunked) : BodyReader(Framing::Length, length);
    m_maxBodyBytes = isChunked ? m_limits.bodyBytes : length;
    return true;
}

/// The announced length cannot be trusted, so memory grows only as bytes arrive.
std::size_t RequestParser::bodyCapacityFor(std::size_t inputBytes) const
{
    const std::size_t needed = std::min(m_body.size() + inputBytes, m_maxBodyBytes);
    if (needed <= m_body.capacity())
        return m_body.capacity();
    const std::size_t grown = m_body.capacity() + m_body.capacity() / 2;
    return std::min(std::max(needed, grown), m_maxBodyBytes);
}

std::size_t RequestParser::consumeBody(std::string_view input)
{
    const std::size_t consumed = m_reader.consume(input);
    if (m_reader.error())
        return fail(ErrorKind::BadRequest);
    if (m_body.size() + m_reader.piece().size() > m_limits.bodyBytes)
        return fail(ErrorKind::BodyTooLarge);
    Base::reserveExactly(m_body, bodyCapacityFor(input.size()));
    m_body += m_reader.piece();
    if (m_reader.isComplete())
        m_state = State::Complete;
    return consumed;
}

std::size_t RequestParser::fail(ErrorKind error)
{
    m_state = State::Failed;
    m_error = error;
    return 0;
}

} // namespace Lagoonbank::Http::Internal
