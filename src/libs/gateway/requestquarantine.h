#pragma once

#include "base/units.h"
#include "gateway/quarantinetable.h"
#include "gateway/requestfingerprint.h"
#include "schema/generated/fleetsync.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Lagoonbank::Gateway {

/// A crash of an endpoint while it was running a request.
struct RequestCrash
{
    RequestFingerprint request;
    std::uint64_t endpoint = 0; ///< EndpointRecord::startHash.
};

/// A request that is sent to no endpoint until its quarantine ends.
struct QuarantinedRequest
{
    RequestFingerprint request;
    /// Remaining time of the quarantine, limited to RequestQuarantine::Options::quarantineTime.
    Base::Duration remaining = Base::Duration::max();
};

Schema::SharedCrash toShared(const RequestCrash &crash);
RequestCrash fromShared(const Schema::SharedCrash &shared);
Schema::SharedQuarantine toShared(const QuarantinedRequest &quarantined);
QuarantinedRequest fromShared(const Schema::SharedQuarantine &shared);

/// Quarantines requests that crash the endpoints that run them, so that they reach no further
/// endpoints.
///
/// A crash ends all requests of the endpoint, and nothing shows which of them caused it. The
/// request that caused several crashes was running in each of them. A harmless request is seldom
/// running in three crashes. If it is because many callers send it, one of these callers gets an
/// answer in between, and the crashes recorded for the request are then forgotten.
///
/// The class reads no clock; time is an argument.
class RequestQuarantine
{
public:
    struct Options
    {
        /// Number of endpoints that may crash while running a request before it is quarantined.
        /// With fewer, two crashes in a row would quarantine harmless streams that were resumed at
        /// the second endpoint after the first one had crashed.
        std::size_t crashesToQuarantine = 3;
        /// Time for which crashes are remembered after the last one of a request; callers repeat
        /// such a request within minutes.
        Base::Duration crashLifetime = std::chrono::minutes(10);
        /// Duration of a quarantine. It gives operators time to fix the cause. Afterwards the
        /// request may crash crashesToQuarantine endpoints before it is quarantined again.
        Base::Duration quarantineTime = std::chrono::hours(1);
        /// Maximum number of requests whose crashes are remembered. Requests with more crashes are
        /// kept first; among equals, those with more recent ones.
        std::size_t maxRequests = 4096;
        /// Maximum number of quarantined requests; beyond it, the quarantine that ends first is
        /// dropped.
        std::size_t maxQuarantined = 256;
    };

    explicit RequestQuarantine(Options options)
        : m_options(options)
        , m_table({.maxTime = options.quarantineTime, .maxItems = options.maxQuarantined})
    { }

    /// Records a crash; returns whether it has put the request into quarantine.
    bool crashed(const RequestCrash &crash, Base::MonoTime now);
    /// Records that the request was answered. Crashes recorded for it had another cause and are
    /// forgotten.
    void answered(RequestFingerprint request) { m_crashes.erase(request); }
    /// Whether crashes are recorded for a request that is not quarantined.
    bool hasCrashes(RequestFingerprint request) const { return m_crashes.contains(request); }
    /// Whether \a crash, if recorded, would quarantine the request.
    bool wouldQuarantine(const RequestCrash &crash, Base::MonoTime now) const;
    /// Applies a quarantine that another router decided; returns whether it was not known yet.
    bool quarantine(const QuarantinedRequest &quarantined, Base::MonoTime now);
    /// Remaining time of the request's quarantine; empty if it is not quarantined.
    std::optional<Base::Duration> timeLeft(RequestFingerprint request, Base::MonoTime now) const
    {
        return m_table.timeLeft(request, now);
    }
    std::vector<QuarantinedRequest> quarantined(Base::MonoTime now) const;
    /// The crashes that are remembered, for a router that starts.
    std::vector<RequestCrash> crashes(Base::MonoTime now) const;
    /// Whether neither crashes nor quarantines are recorded, so that no request needs a lookup.
    bool isEmpty() const { return m_crashes.empty() && m_table.isEmpty(); }

private:
    struct Crashes
    {
        std::vector<std::uint64_t> endpoints;
        Base::MonoTime lastAt;

        bool has(std::uint64_t endpoint) const
        {
            return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
        }
    };

    bool isFresh(const Crashes &crashes, Base::MonoTime now) const
    {
        return now - crashes.lastAt < m_options.crashLifetime;
    }
    /// Makes space in m_crashes for one more request.
    void evictIfFull(Base::MonoTime now);

    Options m_options;
    absl::flat_hash_map<RequestFingerprint, Crashes> m_crashes;
    QuarantineTable<RequestFingerprint> m_table;
};

} // namespace Lagoonbank::Gateway
