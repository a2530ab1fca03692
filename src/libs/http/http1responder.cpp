#include "http/http1responder.h"

#include "http/messagesyntax.h"
#include "http/reasonphrase.h"

#include <array>
#include <charconv>
#include <utility>

namespace Lagoonbank::Http::Internal {

namespace {

/// Whether the field is written by the connection.
bool belongsToConnection(std::string_view name)
{
    return name == "content-length" || name == "connection" || name == "transfer-encoding"
        || name == "keep-alive" || name == "trailer" || name == "upgrade";
}

void appendChunk(std::string &bytes, std::string_view piece)
{
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.begin(), size.end(), piece.size(), 16).ptr;
    bytes.append(size.data(), end);
    bytes += "\r\n";
    bytes += piece;
    bytes += "\r\n";
}

constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace

std::shared_ptr<Http1Connection> Http1Responder::openConnection(State expected) const
{
    return m_state == expected ? m_options.connection.lock() : nullptr;
}

bool Http1Responder::keepsConnection(const Http1Connection &connection) const
{
    const Http1Context &context = connection.m_context;
    return m_options.keepsConnection && !context.isDraining && !context.isOverConnectionLimit;
}

std::string Http1Responder::head(int status, const Headers &headers,
                                 const Http1Connection &connection) const
{
    std::string text = "HTTP/1.1 ";
    text.reserve(512);
    text += std::to_string(status);
    text += ' ';
    text += reasonPhrase(status);
    text += "\r\n";
    for (const Header &field : headers.fields()) {
        if (belongsToConnection(field.name) || !isSafeHeaderName(field.name)
            || !isSafeHeaderValue(field.value)) {
            continue;
        }
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
    if (!keepsConnection(connection))
        text += "Connection: close\r\n";
    return text;
}

void Http1Responder::send(int status, const Headers &headers, std::string body)
{
    const std::shared_ptr<Http1Connection> connection = openConnection(State::Waiting);
    if (!connection)
        return;
    m_state = State::Ended;
    std::string bytes = head(status, headers, *connection);
    if (!hasNoBody(status))
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    bytes += "\r\n";
    if (!m_options.isHead && !hasNoBody(status))
        bytes += body;
    connection->write(std::move(bytes));
    connection->answerQueued(keepsConnection(*connection));
}

void Http1Responder::begin(int status, const Headers &headers)
{
    const std::shared_ptr<Http1Connection> connection = openConnection(State::Waiting);
    if (!connection)
        return;
    m_state = State::Streaming;
    // Without chunked encoding only the end of the connection marks the end of the answer.
    if (m_options.isHttp10)
        m_options.keepsConnection = false;
    m_head = head(status, headers, *connection);
    if (!m_options.isHttp10)
        m_head += "Transfer-Encoding: chunked\r\n";
    m_head += "\r\n";
}

void Http1Responder::write(std::string_view piece)
{
    const std::shared_ptr<Http1Connection> connection = openConnection(State::Streaming);
    if (!connection || piece.empty())
        return;
    std::string bytes = std::exchange(m_head, {});
    if (m_options.isHttp10)
        bytes += piece;
    else if (!m_options.isHead)
        appendChunk(bytes, piece);
    connection->write(std::move(bytes));
}

void Http1Responder::end()
{
    const std::shared_ptr<Http1Connection> connection = openConnection(State::Streaming);
    if (!connection)
        return;
    m_state = State::Ended;
    std::string bytes = std::exchange(m_head, {});
    if (!m_options.isHttp10 && !m_options.isHead)
        bytes += lastChunk;
    connection->write(std::move(bytes));
    connection->answerQueued(keepsConnection(*connection));
}

void Http1Responder::abort()
{
    const std::shared_ptr<Http1Connection> connection = m_options.connection.lock();
    if (m_state == State::Ended || !connection)
        return;
    m_state = State::Ended;
    m_disconnectHandler = nullptr;
    connection->abortAnswer();
}

std::size_t Http1Responder::queuedBytes() const
{
    const std::shared_ptr<Http1Connection> connection = m_options.connection.lock();
    return connection ? connection->queuedBytes() : 0;
}

void Http1Responder::checkForDisconnect()
{
    const std::shared_ptr<Http1Connection> connection = m_options.connection.lock();
    if (m_state != State::Ended && connection)
        connection->checkForDisconnect();
}

void Http1Responder::setDisconnectHandler(std::function<void()> handler)
{
    m_disconnectHandler = std::move(handler);
    if (m_isDisconnected) {
        if (const auto handler = std::exchange(m_disconnectHandler, nullptr))
            handler();
    }
}

void Http1Responder::connectionClosed(bool notifies)
{
    if (m_state == State::Ended)
        return;
    m_state = State::Ended;
    m_isDisconnected = true;
    const auto handler = std::exchange(m_disconnectHandler, nullptr);
    if (handler && notifies)
        handler();
}

void Http1Responder::drained()
{
    if (m_state == State::Streaming && m_drainHandler)
        m_drainHandler();
}

} // namespace Lagoonbank::Http::Internal
