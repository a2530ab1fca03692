#pragma once

#include "gateway/endpointregistry.h"
#include "logging/decisionlog.h"
#include "runtime/clock.h"

namespace Lagoonbank::Gateway {

/// Doubts endpoints by what they answer: a share of failures makes one suspect, a single one does
/// not, and neither do many at once; one that is full gets nothing for a moment.
class EndpointHealth
{
public:
    struct Options
    {
        EndpointRegistry *registry = nullptr;
        const Runtime::Clock *clock = nullptr;
        Logging::DecisionLog *log = nullptr;
        /// Above the share of errors that good endpoints give for requests that are wrong
        /// themselves.
        double failureShareToSuspect = 0.4;
        /// Of the newest answer; some eight bad ones of sixteen make an endpoint suspect.
        double failureWeight = 0.15;
        Base::Duration failureHalfLife = std::chrono::seconds(4);
        /// Failures of a trusted endpoint within this time count as one: what resets connections in
        /// bulk breaks all answers at once, and tells no more of the endpoint than one of them.
        /// They come within a round trip; an engine that fails by itself does so each tens of ms.
        Base::Duration failureBurst = std::chrono::milliseconds(5);
        /// For which an endpoint that refused as full gets nothing new: a few of its requests end
        /// meanwhile.
        Base::Duration fullBackOff = std::chrono::milliseconds(150);
    };

    explicit EndpointHealth(Options options)
        : m_options(options)
    { }

    /// It has answered, or failed to. \a request is named in the log if that decides.
    void answered(EndpointRecord &endpoint, bool isGood, const Base::RequestId &request) const;
    /// It has proven not to have run a request, as it is full or as another endpoint has its
    /// address now, which it then has for good.
    void refused(EndpointRecord &endpoint, bool isOtherEndpoint,
                 const Base::RequestId &request) const;

    /// What the head of its answer says of the endpoint itself.
    void headReceived(EndpointRecord &endpoint, const HeadFacts &facts,
                      const Base::RequestId &request) const;

private:
    /// Whether another failure has been counted a moment ago.
    bool isInFailureBurst(const EndpointRecord &endpoint, Base::MonoTime now) const;

    Options m_options;
};

} // namespace Lagoonbank::Gateway
