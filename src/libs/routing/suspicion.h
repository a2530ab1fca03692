#pragma once

#include "base/units.h"
#include "routing/endpointtable.h"

#include <cstdint>
#include <vector>

namespace Lagoonbank::Routing {

/// Result of an exchange or probe with an endpoint as evidence of the endpoint's health.
enum class ExchangeResult : std::uint8_t {
    Answered, ///< Any complete answer, including a refusal that proves that nothing was run.
    Broke, ///< The connection broke, or no progress was made before the progress deadline.
    Unreachable ///< No connection could be established.
};

/// Detects failing endpoints, so that they get no new requests. An endpoint is suspected after a
/// number of consecutive failures. After a backoff, which doubles with each further failure, it
/// gets one trial request at a time until enough trials have succeeded. The backoff of a flapping
/// endpoint is reset only after the endpoint has been healthy for some time.
class Suspicion
{
public:
    struct Options
    {
        /// Consecutive failures needed to suspect the endpoint if the last one is Broke.
        int breaksToSuspect = 3;
        /// Consecutive failures needed if the last one is Unreachable.
        int unreachableToSuspect = 2;
        Base::Duration initialBackoff = std::chrono::seconds(1);
        Base::Duration maximumBackoff = std::chrono::seconds(30);
        int trialsToRecover = 2; ///< Consecutive successful trials needed.
        /// Time after which a trial without a result no longer blocks the next one.
        Base::Duration trialTimeout = std::chrono::seconds(30);
        /// If the endpoint has been healthy for this long, its next backoff is the initial one.
        Base::Duration backoffResetAfter = std::chrono::seconds(60);
    };

    enum class State : std::uint8_t { Healthy, Suspected, OnTrial };

    explicit Suspicion(Options options)
        : m_options(options)
    { }

    /// Applies to later results; the states of the endpoints stay.
    void setOptions(const Options &options) { m_options = options; }
    void resize(std::size_t size);
    void reset(EndpointIndex endpoint) { m_rows[endpoint] = {}; }

    void noteResult(EndpointIndex endpoint, ExchangeResult result, Base::MonoTime now);
    /// Records that a request has been sent as a trial.
    void noteTrialSent(EndpointIndex endpoint, Base::MonoTime now);
    /// Records that a trial ended without a result, for example because the caller disconnected.
    void noteTrialCancelled(EndpointIndex endpoint);
    /// Suspects the endpoint at once on external evidence, such as a failed probe.
    void suspect(EndpointIndex endpoint, Base::MonoTime now);

    State state(EndpointIndex endpoint) const { return m_rows[endpoint].state; }
    /// Time at which the endpoint was last suspected.
    Base::MonoTime suspectedSince(EndpointIndex endpoint) const
    {
        return m_rows[endpoint].suspectedSince;
    }
    /// Whether a trial may be sent now.
    bool admitsTrial(EndpointIndex endpoint, Base::MonoTime now) const;

private:
    struct Row
    {
        State state = State::Healthy;
        std::uint8_t failures = 0; ///< Consecutive failures while healthy.
        std::uint8_t successes = 0; ///< Consecutive successful trials.
        /// Zero if the endpoint was never suspected; otherwise the backoff is
        /// min(initialBackoff * 2^(backoffLevel - 1), maximumBackoff).
        std::uint8_t backoffLevel = 0;
        bool trialInFlight = false;
        Base::MonoTime suspectedSince;
        Base::MonoTime backoffUntil; ///< While suspected: no trial is sent before this time.
        Base::MonoTime trialSentAt;
        Base::MonoTime healthySince;
    };

    void noteFailure(Row &row, int failuresToSuspect, Base::MonoTime now);
    void noteAnswer(Row &row, Base::MonoTime now);
    void enterSuspected(Row &row, Base::MonoTime now);

    Options m_options;
    std::vector<Row> m_rows;
};

} // namespace Lagoonbank::Routing
