#pragma once

#include "base/units.h"
#include "capacity/prefillqueue.h"
#include "capacity/prefillrate.h"
#include "capacity/recentkinds.h"
#include "capacity/urgency.h"
#include "capacity/waitcorrection.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Lagoonbank::Capacity {

/// What a router knows about the prefill of one service, for the forecasts of all its endpoints.
struct ServicePrefill
{
    PrefillRate rate;
    RecentKinds kinds;
    WaitCorrection correction;
};

/// Predicts the time to the first event of requests at one endpoint, and decides from it whether
/// the endpoint may take a request.
///
/// The prompts that wait for prefill at an endpoint are limited because prefill is interleaved with
/// decoding: while prompts wait, a decode step of 4 to 6 ms follows each chunk of 33 ms, and
/// running streams are that much slower. Requests whose prompts are cached add little to the wait
/// and are limited by the slots only.
class FirstEventForecast
{
public:
    struct Options
    {
        /// Wait time up to which nothing is regarded as waiting for prefill: half a chunk of 2,048
        /// tokens. With a whole chunk (33 ms) fewer of the most urgent requests are in time in the
        /// model (tst_prefillmodel), and more with long prompts.
        Base::Duration idleWait = std::chrono::milliseconds(16);
    };
    /// State of the endpoint and of the way to it.
    struct Conditions
    {
        double slowdown = 1;
        Base::Duration network{}; ///< Round trip to the endpoint.
    };
    struct Request
    {
        Urgency urgency;
        Base::Duration target{}; ///< For the first event, from the arrival on.
        Base::Tokens uncached; ///< Prompt tokens that the endpoint has not cached.
        Base::Duration waited{}; ///< Time since the arrival.
    };

    FirstEventForecast() = default;
    explicit FirstEventForecast(const Options &options, const PrefillQueue::Options &queueOptions)
        : m_options(options)
        , m_queue(queueOptions)
    { }

    void requestSent(std::uint64_t request, Base::Tokens uncached, const Conditions &conditions,
                     const ServicePrefill &service, Base::MonoTime now);
    /// Also corrects the service's rate and wait by the observed time.
    void firstEventReceived(std::uint64_t request, ServicePrefill &service, Base::MonoTime now);
    void requestEnded(std::uint64_t request);
    void peerPromptAnnounced(Base::Tokens uncached, Base::MonoTime now);

    /// Time until all prompts at the endpoint have been prefilled, including prompts that are known
    /// only by the delay of first events.
    Base::Duration waitTime(const Conditions &conditions, const ServicePrefill &service,
                            Base::MonoTime now) const;
    /// Predicted time from now to the first event of a request that is sent now.
    Base::Duration timeToFirstEvent(Base::Tokens uncached, const Conditions &conditions,
                                    const ServicePrefill &service, Base::MonoTime now) const;
    /// Whether the endpoint may take the request: it would be in time, and requests of more urgent
    /// kinds that arrive after it as well, or no prompt waits for prefill. So a request that is
    /// late already is taken by idle endpoints only.
    bool mayTake(const Request &request, const Conditions &conditions,
                 const ServicePrefill &service, Base::MonoTime now) const;
    /// Whether the first event can arrive within \a remaining under the best conditions. Slowdown,
    /// overdue first events and the correction don't count, since they may end at any time. A
    /// request for which this is false at all endpoints is refused immediately.
    bool canServeWithin(Base::Duration remaining, Base::Tokens uncached,
                        const Conditions &conditions, const ServicePrefill &service,
                        Base::MonoTime now) const;

private:
    struct Sent
    {
        Base::Tokens uncached;
        Conditions conditions;
        bool foundIdle = false; ///< No prompt waited for prefill.
        /// Predicted time to the first event without correction.
        Base::Duration predicted{};
        Base::MonoTime at;
    };

    /// Time to the first event without a wait.
    static Base::Duration ownTime(Base::Tokens uncached, const Conditions &conditions,
                                  const ServicePrefill &service);

    Options m_options;
    PrefillQueue m_queue;
    WaitCorrection m_correction;
    absl::flat_hash_map<std::uint64_t, Sent> m_sent;
};

} // namespace Lagoonbank::Capacity
