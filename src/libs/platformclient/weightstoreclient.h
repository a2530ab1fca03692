#pragma once

#include "base/ids.h"
#include "errors/result.h"
#include "platformclient/backoff.h"
#include "platformclient/transport.h"
#include "runtime/timerqueue.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace Lagoonbank::PlatformClient {

/// The seconds that a Retry-After header asks for; nothing if it is not a whole number.
std::optional<Base::Duration> retryAfter(const Http::Headers &headers);

/// Asks the weight store for weights, one call at a time and no sooner than it allows.
class WeightStoreClient
{
public:
    struct Options
    {
        Transport transport;
        Runtime::TimerQueue *timers = nullptr;
        Base::Duration timeout = std::chrono::seconds(5); ///< Of one call.
        Base::Duration deadline = std::chrono::seconds(60); ///< For a whole fetch, with retries.
        std::size_t queued = 1000;
        Backoff::Options backoff; ///< Where the store does not answer.
    };
    using Fetched = std::function<void(Errors::Result<Base::Bytes>)>;

    explicit WeightStoreClient(Options options);
    ~WeightStoreClient();
    WeightStoreClient(const WeightStoreClient &) = delete;
    WeightStoreClient &operator=(const WeightStoreClient &) = delete;

    /// Gives the size of the weights once the store has given them out. \a fetched is called
    /// once, later.
    void fetch(const Base::ModelId &model, const std::string &version, Fetched fetched);

private:
    struct Fetch
    {
        std::string target;
        Base::MonoTime deadline;
        Fetched fetched;
    };

    void startLater(Base::Duration delay);
    void startNext();
    void ended(const Http::CallResult &result);
    void finish(Errors::Result<Base::Bytes> result);
    Base::MonoTime now() const { return m_options.timers->clock().now(); }

    Options m_options;
    Backoff m_backoff;
    std::deque<Fetch> m_queue; ///< The first one is being fetched.
    bool m_isBusy = false;
    bool m_distrustsConnections = false;
    Http::CallId m_call;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::PlatformClient
