#pragma once

#include "errors/errorkind.h"
#include "http/bodyreader.h"
#include "http/headers.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Lagoonbank::Http::Internal {

/// Reads one HTTP/1.1 request from the bytes of a connection. What two readers could frame
/// differently is refused, so that no request can hide in another one.
class RequestParser
{
public:
    enum class State : std::uint8_t { Head, Body, Whole, Failed };

    struct Limits
    {
        std::size_t headBytes = 64 * 1024;
        std::size_t bodyBytes = 8 * 1024 * 1024;
    };

    explicit RequestParser(Limits limits)
        : m_limits(limits)
    { }

    /// Takes bytes from the front of \a input and returns how many. Call it again while it takes
    /// any and the request is not whole.
    std::size_t take(std::string_view input);

    State state() const { return m_state; }
    /// Why it failed.
    Errors::ErrorKind error() const { return m_error; }

    const std::string &method() const { return m_method; }
    const std::string &target() const { return m_target; }
    Headers &headers() { return m_headers; }
    std::string &body() { return m_body; }
    bool isHttp10() const { return m_isHttp10; }
    /// Whether the sender wants to use the connection again.
    bool keepsConnection() const { return m_keepsConnection; }
    /// Whether the sender waits for an interim answer before it sends the body.
    bool awaitsContinue() const { return m_awaitsContinue; }

private:
    std::size_t takeHead(std::string_view input);
    std::size_t takeBody(std::string_view input);
    bool readRequestLine(std::string_view line);
    bool readFraming();
    std::size_t fail(Errors::ErrorKind error);

    Limits m_limits;
    State m_state = State::Head;
    Errors::ErrorKind m_error = Errors::ErrorKind::BadRequest;
    std::size_t m_searched = 0; ///< Bytes of the head in which no end was found.
    std::string m_method;
    std::string m_target;
    Headers m_headers;
    std::string m_body;
    BodyReader m_reader;
    bool m_isHttp10 = false;
    bool m_keepsConnection = true;
    bool m_awaitsContinue = false;
};

} // namespace Lagoonbank::Http::Internal
