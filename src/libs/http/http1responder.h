#pragma once

#include "http/http1connection.h"
#include "http/server.h"

#include <memory>
#include <string>
#include <utility>

namespace Lagoonbank::Http::Internal {

/// Answer to one request on an HTTP/1.1 connection, which may be closed at any time.
class Http1Responder final : public Responder
{
public:
    struct Options
    {
        std::weak_ptr<Http1Connection> connection;
        bool isHead = false; ///< The answer has no body.
        bool isHttp10 = false; ///< The end of the connection marks the end of a streamed answer.
        bool keepsConnection = true;
    };

    explicit Http1Responder(Options options)
        : m_options(std::move(options))
    { }

    void send(int status, const Headers &headers, std::string body) override;
    void begin(int status, const Headers &headers) override;
    void write(std::string_view piece) override;
    void end() override;
    void abort() override;
    std::size_t queuedBytes() const override;
    bool isDisconnected() const override { return m_isDisconnected; }
    void checkForDisconnect() override;
    void setDisconnectHandler(std::function<void()> handler) override;
    void setDrainHandler(std::function<void()> handler) override
    {
        m_drainHandler = std::move(handler);
    }

    /// Called when the connection is closed. Calls the disconnect handler if \a notifies is set.
    void connectionClosed(bool notifies);
    /// Called when all written bytes have been sent.
    void drained();

private:
    enum class State : std::uint8_t { Waiting, Streaming, Ended };

    std::shared_ptr<Http1Connection> openConnection(State expected) const;
    bool keepsConnection(const Http1Connection &connection) const;
    std::string head(int status, const Headers &headers, const Http1Connection &connection) const;

    Options m_options;
    State m_state = State::Waiting;
    bool m_isDisconnected = false;
    std::string m_head; ///< Sent with the first piece.
    std::function<void()> m_disconnectHandler;
    std::function<void()> m_drainHandler;
};

} // namespace Lagoonbank::Http::Internal
