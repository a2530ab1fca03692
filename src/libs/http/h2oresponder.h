#pragma once

#include "http/server.h"

#include <h2o.h>

#include <memory>
#include <string>
#include <utility>

namespace Lagoonbank::Http::Internal {

/// Answer to one HTTP/2 request. h2o may end its request at any time; detach() is called then.
class H2oResponder final
    : public Responder
    , public std::enable_shared_from_this<H2oResponder>
{
public:
    H2oResponder(h2o_req_t *request, std::shared_ptr<MemoryBudget> memory);

    void send(int status, const Headers &headers, std::string body) override;
    void begin(int status, const Headers &headers) override;
    void write(std::string_view piece) override;
    void end() override;
    void abort() override;
    std::size_t queuedBytes() const override { return m_queued.size() + m_inFlight.size(); }
    bool isDisconnected() const override { return m_isDisconnected; }
    void setDisconnectHandler(std::function<void()> handler) override;
    void setDrainHandler(std::function<void()> handler) override
    {
        m_drainHandler = std::move(handler);
    }

    /// Called when h2o's request is destroyed, whether or not the answer has ended.
    void detach();

private:
    /// h2o keeps a pointer to this object, so its address must not change until detach().
    struct Generator
    {
        h2o_generator_t super;
        H2oResponder *owner;
    };
    enum class State { Waiting, Streaming, Ended };

    static void proceed(h2o_generator_t *generator, h2o_req_t *request);
    static void stop(h2o_generator_t *generator, h2o_req_t *request);
    void startResponse(int status, const Headers &headers, std::size_t contentLength);
    void sendQueued();
    void reportDisconnect();
    bool takeMemory() { return m_memory.resize(m_queued.capacity() + m_inFlight.capacity()); }

    h2o_req_t *m_request; ///< Null once h2o's request has ended.
    Generator m_generator{};
    State m_state = State::Waiting;
    bool m_isSending = false; ///< h2o has not called proceed() yet.
    bool m_isEndQueued = false;
    bool m_isAborted = false;
    bool m_isDisconnected = false;
    std::string m_queued;
    std::string m_inFlight;
    MemoryUse m_memory;
    std::function<void()> m_disconnectHandler;
    std::function<void()> m_drainHandler;
};

} // namespace Lagoonbank::Http::Internal
