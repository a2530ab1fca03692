#pragma once

#include "base/units.h"
#include "routing/endpointtable.h"

#include <cstdint>
#include <vector>

namespace Lagoonbank::Routing {

/// How an exchange or a probe with an endpoint ended, as far as it tells of the endpoint's health.
enum class ExchangeResult : std::uint8_t {
    Answered, ///< Any whole answer, a proven refusal as not run included.
    Broke, ///< Broken off, or silent past its progress deadline.
    Unreachable ///< No connection.
};

/// Keeps endpoints that fail away from new work. An endpoint is suspected after failures in a row;
/// after a while, which doubles while failures go on, one trial request at a time finds out
/// whether it is back. An endpoint that flaps keeps the long wait until it has been well for long.
class Suspicion
{
public:
    struct Options
    {
        int breaksToSuspect = 3; ///< In a row.
        int unreachableToSuspect = 2; ///< In a row.
        Base::Duration initialBackoff = std::chrono::seconds(1);
        Base::Duration maximumBackoff = std::chrono::seconds(30);
        int trialsToRecover = 2; ///< Whole answers in a row.
        Base::Duration trialTimeout = std::chrono::seconds(30); ///< A trial not heard of since.
        Base::Duration backoffResetAfter =
            std::chrono::seconds(60); ///< Well for so long: wait is short.
    };

    enum class State : std::uint8_t { Healthy, Suspected, OnTrial };

    explicit Suspicion(Options options)
        : m_options(options)
    { }

    /// For decisions from now on; what is known of the endpoints stays.
    void setOptions(const Options &options) { m_options = options; }
    void resize(std::size_t size);
    void reset(EndpointIndex endpoint) { m_rows[endpoint] = {}; }

    void noteResult(EndpointIndex endpoint, ExchangeResult result, Base::MonoTime now);
    /// A request has been sent as a trial.
    void noteTrialSent(EndpointIndex endpoint, Base::MonoTime now);
    /// A trial ended without telling anything, as when the caller left.
    void noteTrialCancelled(EndpointIndex endpoint);
    /// Another, such as a probe, has found the endpoint out of order.
    void suspect(EndpointIndex endpoint, Base::MonoTime now);

    State state(EndpointIndex endpoint) const { return m_rows[endpoint].state; }
    /// When the endpoint was suspected last.
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
        std::uint8_t failures = 0; ///< In a row; while trusted.
        std::uint8_t successes = 0; ///< Trials in a row.
        std::uint8_t level = 0; ///< How often the wait has been doubled.
        bool trialInFlight = false;
        Base::MonoTime suspectedSince;
        Base::MonoTime trialsFrom; ///< While suspected: when trials begin.
        Base::MonoTime trialSentAt;
        Base::MonoTime healthySince;
    };

    void noteFailure(Row &row, int toSuspect, Base::MonoTime now);
    void noteAnswer(Row &row, Base::MonoTime now);
    void enterSuspected(Row &row, Base::MonoTime now);

    Options m_options;
    std::vector<Row> m_rows;
};

} // namespace Lagoonbank::Routing
