#pragma once

#include "errors/errorkind.h"
#include "http/bodyreader.h"
#include "http/headers.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Lagoonbank::Http::Internal {

/// Parses one HTTP/1.1 request from the bytes of a connection. Rejects whatever two parsers could
/// frame differently, which prevents request smuggling.
class RequestParser
{
public:
    enum class State : std::uint8_t { Head, Body, Complete, Failed };

    struct Limits
    {
        std::size_t headBytes = 64 * 1024;
        std::size_t bodyBytes = 8 * 1024 * 1024;
    };

    explicit RequestParser(Limits limits)
        : m_limits(limits)
    { }

    /// Consumes bytes from the front of \a input and returns their number. Call it again until it
    /// returns 0 or the request is complete. Stops after the head if a body follows.
    std::size_t consume(std::string_view input);

    State state() const { return m_state; }
    /// Reason for State::Failed.
    Errors::ErrorKind error() const { return m_error; }

    const std::string &method() const { return m_method; }
    const std::string &target() const { return m_target; }
    Headers &headers() { return m_headers; }
    std::string &body() { return m_body; }
    /// Memory of the body so far.
    std::size_t bodyCapacity() const { return m_body.capacity(); }
    std::size_t bodyBytes() const { return m_body.size(); }
    std::size_t headBytes() const { return m_headBytes; }
    /// Memory that the body needs if \a inputBytes more bytes are consumed.
    std::size_t bodyCapacityFor(std::size_t inputBytes) const;
    bool isHttp10() const { return m_isHttp10; }
    /// Whether the sender wants to reuse the connection.
    bool keepsConnection() const { return m_keepsConnection; }
    /// Whether the sender waits for an interim answer before it sends the body.
    bool awaitsContinue() const { return m_awaitsContinue; }

private:
    std::size_t consumeHead(std::string_view input);
    std::size_t consumeBody(std::string_view input);
    bool readRequestLine(std::string_view line);
    bool readFraming();
    std::size_t fail(Errors::ErrorKind error);

    Limits m_limits;
    State m_state = State::Head;
    Errors::ErrorKind m_error = Errors::ErrorKind::BadRequest;
    std::size_t m_headBytes = 0;
    std::size_t m_searchedBytes = 0; ///< Bytes already searched for the end of the head.
    std::string m_method;
    std::string m_target;
    Headers m_headers;
    std::string m_body;
    std::size_t m_maxBodyBytes = 0; ///< The announced size, or the limit.
    BodyReader m_reader;
    bool m_isHttp10 = false;
    bool m_keepsConnection = true;
    bool m_awaitsContinue = false;
};

} // namespace Lagoonbank::Http::Internal
