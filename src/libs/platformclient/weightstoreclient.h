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

/// The delay of a Retry-After header in seconds; nullopt if it is missing or not an integer. At
/// most one hour.
std::optional<Base::Duration> retryAfter(const Http::Headers &headers);

/// Fetches model weights from the weight store, one call at a time, and honours its Retry-After.
class WeightStoreClient
{
public:
    struct Options
    {
        Transport transport;
        Runtime::TimerQueue *timers = nullptr;
        Base::Duration timeout = std::chrono::seconds(5); ///< Limit for one call.
        Base::Duration deadline = std::chrono::seconds(60); ///< For one fetch with retries.
        std::size_t maxQueuedFetches = 1000;
        Backoff::Options backoff; ///< Between retries.
    };
    using Fetched = std::function<void(Errors::Result<Base::Bytes>)>;

    explicit WeightStoreClient(Options options);
    ~WeightStoreClient();
    WeightStoreClient(const WeightStoreClient &) = delete;
    WeightStoreClient &operator=(const WeightStoreClient &) = delete;

    /// Fetches the weights. \a fetched is called once, later, with their size or an error.
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
    void callEnded(const Http::CallResult &result);
    void finish(Errors::Result<Base::Bytes> result);
    Base::MonoTime now() const { return m_options.timers->clock().now(); }

    Options m_options;
    Backoff m_backoff;
    std::deque<Fetch> m_queue; ///< The first fetch is running.
    bool m_isBusy = false;
    bool m_needsFreshConnection = false;
    Http::CallId m_call;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::PlatformClient
