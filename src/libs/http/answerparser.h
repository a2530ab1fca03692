#pragma once

#include "http/bodyreader.h"
#include "http/headers.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Lagoonbank::Http::Internal {

/// Parses one HTTP/1.1 answer from the bytes of a connection. Ambiguous syntax is an error.
class AnswerParser
{
public:
    enum class State : std::uint8_t { Head, Body, Complete, Failed };

    explicit AnswerParser(bool isAnswerToHead)
        : m_isAnswerToHead(isAnswerToHead)
    { }

    /// Consumes bytes from the front of \a input and returns their number. Stops after the head and
    /// after each piece of the body, so call it again until it returns 0. piece() is valid until
    /// \a input changes.
    std::size_t consume(std::string_view input);
    /// Handles an orderly close of the connection. It completes an answer without a length and
    /// cuts off any other that is not complete.
    void handleClose();

    State state() const { return m_state; }
    std::string_view piece() const { return m_piece; }
    int status() const { return m_status; }
    Headers &headers() { return m_headers; }
    /// Whether the connection can be reused after a complete answer.
    bool isReusable() const { return m_isReusable; }
    /// How the end of the answer is marked.
    Framing framing() const { return m_body.framing(); }
    const char *error() const { return m_error; }

private:
    std::size_t consumeHead(std::string_view input);
    std::size_t consumeBody(std::string_view input);
    bool readStatusLine(std::string_view line);
    bool readFraming();
    std::size_t fail(const char *error);

    bool m_isAnswerToHead;
    State m_state = State::Head;
    BodyReader m_body;
    int m_status = 0;
    bool m_isReusable = true;
    std::size_t m_headBytes = 0; ///< Of the head and of the interim answers before it.
    Headers m_headers;
    std::string_view m_piece;
    const char *m_error = "";
};

} // namespace Lagoonbank::Http::Internal
