#pragma once

#include "http/bodyreader.h"
#include "http/headers.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Lagoonbank::Http::Internal {

/// Reads one HTTP/1.1 answer from the bytes of a connection. Strict: what could be read in two ways
/// is an error.
class AnswerParser
{
public:
    enum class State : std::uint8_t { Head, Body, Whole, Failed };

    explicit AnswerParser(bool isAnswerToHead)
        : m_isAnswerToHead(isAnswerToHead)
    { }

    /// Takes bytes from the front of \a input and returns how many. Stops after the head and after
    /// each piece of the body, so call it again while it takes any; piece() is valid until \a input
    /// changes.
    std::size_t take(std::string_view input);
    /// The connection was closed in order; whole only where the answer has no length of its own.
    void takeEnd();

    State state() const { return m_state; }
    std::string_view piece() const { return m_piece; }
    int status() const { return m_status; }
    Headers &headers() { return m_headers; }
    /// Whether the connection can be used again after a whole answer.
    bool isReusable() const { return m_isReusable; }
    /// Whether only the connection's end shows the answer's.
    bool endsWithConnection() const { return m_body.framing() == BodyReader::Framing::Connection; }
    const char *error() const { return m_error; }

private:
    std::size_t takeHead(std::string_view input);
    std::size_t takeBody(std::string_view input);
    bool readStatusLine(std::string_view line);
    bool readFraming();
    std::size_t fail(const char *error);

    bool m_isAnswerToHead;
    State m_state = State::Head;
    BodyReader m_body;
    int m_status = 0;
    bool m_isReusable = true;
    Headers m_headers;
    std::string_view m_piece;
    const char *m_error = "";
};

} // namespace Lagoonbank::Http::Internal
