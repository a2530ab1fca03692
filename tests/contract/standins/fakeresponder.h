#pragma once

#include "http/server.h"

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Lagoonbank::Tests {

/// Records what is sent as the answer.
class FakeResponder final : public Http::Responder
{
public:
    enum class State { Waiting, Streaming, Ended, Aborted };

    void send(int status, const Http::Headers &headers, std::string body) override
    {
        begin(status, headers);
        write(body);
        end();
    }
    void begin(int status, const Http::Headers &headers) override
    {
        m_status = status;
        m_headers = headers;
        m_state = State::Streaming;
    }
    void write(std::string_view piece) override { m_body += piece; }
    void end() override { m_state = State::Ended; }
    void abort() override { m_state = State::Aborted; }
    std::size_t queuedBytes() const override { return 0; }
    bool isDisconnected() const override { return m_isDisconnected; }
    void setDisconnectHandler(std::function<void()> handler) override
    {
        m_disconnectHandler = std::move(handler);
    }
    void setDrainHandler(std::function<void()>) override { }

    void disconnect() { m_isDisconnected = true; }
    State state() const { return m_state; }
    int status() const { return m_status; }
    const std::string &body() const { return m_body; }
    std::string header(std::string_view name) const
    {
        return std::string(m_headers.find(name).value_or(std::string_view()));
    }

private:
    State m_state = State::Waiting;
    int m_status = 0;
    Http::Headers m_headers;
    std::string m_body;
    bool m_isDisconnected = false;
    std::function<void()> m_disconnectHandler;
};

} // namespace Lagoonbank::Tests
