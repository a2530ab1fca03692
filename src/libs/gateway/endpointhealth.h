#pragma once

#include "gateway/endpointregistry.h"
#include "logging/decisionlog.h"
#include "runtime/clock.h"

namespace Lagoonbank::Gateway {

/// Tracks the health of endpoints by the outcome of the requests sent to them. A high share of
/// failures makes an endpoint suspect; a single failure does not, and neither do many failures at
/// the same moment. An endpoint that refuses a request because it is full receives no new requests
/// for a short time.
class EndpointHealth
{
public:
    struct Options
    {
        EndpointRegistry *registry = nullptr;
        const Runtime::Clock *clock = nullptr;
        Logging::DecisionLog *log = nullptr;
        /// Share of failures from which an endpoint becomes suspect. It is above the share of
        /// errors that healthy endpoints return for requests that are invalid themselves.
        double failureShareToSuspect = 0.4;
        /// Weight of the newest answer in the failure share; about eight failures in sixteen
        /// answers make an endpoint suspect.
        double failureWeight = 0.15;
        Base::Duration failureHalfLife = std::chrono::seconds(4);
        /// Failures of a healthy endpoint within this time count as one. A bulk reset of
        /// connections breaks all answers at once, which says no more about the endpoint than one
        /// broken answer. Such failures occur within a round trip, whereas an engine that fails by
        /// itself does so at intervals of tens of milliseconds.
        Base::Duration failureBurst = std::chrono::milliseconds(5);
        /// Time for which an endpoint that refused a request as full receives no new requests. A
        /// few of its running requests end within this time and free their slots.
        Base::Duration fullBackOff = std::chrono::milliseconds(150);
    };

    explicit EndpointHealth(Options options)
        : m_options(options)
    { }

    /// Records the outcome of a request at \a endpoint: a usable answer or a failure. \a request is
    /// named in the log line if the endpoint's state changes.
    void answered(EndpointRecord &endpoint, bool isGood, const Base::RequestId &request) const;
    /// Records that \a endpoint has refused a request and provably did not run it. Either the
    /// endpoint was full, or \a isOtherEndpoint says that another endpoint has its address now,
    /// which is permanent.
    void requestRefused(EndpointRecord &endpoint, bool isOtherEndpoint,
                        const Base::RequestId &request) const;

    /// Evaluates what the head of an answer reports about the endpoint itself.
    void headReceived(EndpointRecord &endpoint, const HeadFacts &facts,
                      const Base::RequestId &request) const;

private:
    /// Whether a failure has been counted within Options::failureBurst.
    bool isInFailureBurst(const EndpointRecord &endpoint, Base::MonoTime now) const;

    Options m_options;
};

} // namespace Lagoonbank::Gateway
