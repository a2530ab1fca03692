#include "http/answerparser.h"

#include "http/messagesyntax.h"

#include <string>

namespace Lagoonbank::Http::Internal {

namespace {

/// Maximum size of the head, with the interim answers before it.
constexpr std::size_t maxHeadBytes = 16 * 1024;

} // namespace

std::size_t AnswerParser::consume(std::string_view input)
{
    m_piece = {};
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

void AnswerParser::handleClose()
{
    if (m_state == State::Body && framing() == Framing::Connection)
        m_state = State::Complete;
    else if (m_state != State::Complete && m_state != State::Failed)
        fail("the connection was closed before the answer was whole");
}

std::size_t AnswerParser::consumeHead(std::string_view input)
{
    const std::size_t end = input.find(headEnd);
    if (end == std::string_view::npos) {
        if (m_headBytes + input.size() > maxHeadBytes)
            return fail("the answer's head is too large");
        return 0;
    }
    m_headBytes += end + headEnd.size();
    if (m_headBytes > maxHeadBytes)
        return fail("the answer's head is too large");
    m_headers = {};
    const bool isRead = readHeadLines(
        input.substr(0, end + lineEnd.size()),
        [this](std::string_view line) { return readStatusLine(line); }, m_headers);
    if (!isRead)
        return fail("the answer's head is malformed");
    const std::size_t consumed = end + headEnd.size();
    const bool isInterim = m_status >= 100 && m_status < 200;
    if (isInterim && m_status != 101) {
        m_status = 0;
        return consumed; // Skips interim answers; the final one follows.
    }
    if (isInterim || !readFraming())
        return fail("the answer's framing is malformed");
    m_state = m_body.isComplete() ? State::Complete : State::Body;
    return consumed;
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

bool AnswerParser::readFraming()
{
    bool hasLength = false;
    bool isChunked = false;
    std::uint64_t length = 0;
    for (const Header &field : m_headers.fields()) {
        if (field.name == "content-length") {
            std::uint64_t next = 0;
            if (!readNumber(field.value, 10, next) || (hasLength && next != length))
                return false;
            hasLength = true;
            length = next;
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
        m_body = BodyReader(Framing::Length, 0);
    } else if (isChunked) {
        m_body = BodyReader(Framing::Chunked);
    } else if (hasLength) {
        m_body = BodyReader(Framing::Length, length);
    } else {
        m_body = BodyReader(Framing::Connection);
        m_isReusable = false;
    }
    return true;
}

std::size_t AnswerParser::consumeBody(std::string_view input)
{
    const std::size_t consumed = m_body.consume(input);
    m_piece = m_body.piece();
    if (m_body.error())
        return fail(m_body.error());
    if (m_body.isComplete())
        m_state = State::Complete;
    return consumed;
}

std::size_t AnswerParser::fail(const char *error)
{
    m_state = State::Failed;
    m_isReusable = false;
    m_error = error;
    return 0;
}

} // namespace Lagoonbank::Http::Internal
