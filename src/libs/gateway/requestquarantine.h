#pragma once

#include "base/units.h"
#include "gateway/requestfingerprint.h"
#include "schema/generated/fleetsync.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Lagoonbank::Gateway {

/// An endpoint that has ended while it had a request.
struct RequestCrash
{
    RequestFingerprint request;
    std::uint64_t endpoint = 0; ///< EndpointRecord::startHash.
};

/// A request that is sent to no endpoint for so long.
struct QuarantinedRequest
{
    RequestFingerprint request;
    Base::Duration remaining = Base::Duration::max(); ///< A whole quarantine if that is less.
};

Schema::SharedRequestEnd toShared(const RequestCrash &end);
RequestCrash fromShared(const Schema::SharedRequestEnd &shared);
Schema::SharedQuarantine toShared(const QuarantinedRequest &quarantined);
QuarantinedRequest fromShared(const Schema::SharedQuarantine &shared);

/// Keeps requests that end the endpoints that run them from ending more.
///
/// An endpoint that ends takes all of its requests with it, and nobody learns which was to blame.
/// That one is under each of the ends. Another one is seldom under three, and where many callers
/// ask for the same, one of them is answered in between.
///
/// Pure: time is an argument.
class RequestQuarantine
{
public:
    struct Options
    {
        /// Endpoints that may end under a request. With fewer, two ends in a row would have sound
        /// streams quarantined that went on from the first endpoint at the second.
        std::size_t maxCrashes = 3;
        /// For which an end counts: callers of such a request come back within minutes.
        Base::Duration crashLifetime = std::chrono::minutes(10);
        /// After which the request may have its three ends again: time for operators to mend what
        /// it breaks.
        Base::Duration quarantineTime = std::chrono::hours(1);
        /// Under which ends are remembered; those of most ends stay, and of these the latest.
        std::size_t maxRequests = 4096;
        std::size_t maxQuarantined = 256; ///< Then the one that ends soonest makes room.
    };

    explicit RequestQuarantine(Options options)
        : m_options(options)
    { }

    /// An endpoint has ended under a request; true if that is quarantined by it.
    bool crashed(const RequestCrash &end, Base::MonoTime now);
    /// The request was answered, so that what ended under it ended for another reason.
    void answered(RequestFingerprint request) { m_crashes.erase(request); }
    /// Whether an endpoint has ended under it lately.
    bool hasCrashes(RequestFingerprint request) const { return m_crashes.contains(request); }
    /// Whether the end of one more endpoint would have it quarantined.
    bool wouldQuarantine(const RequestCrash &end, Base::MonoTime now) const;
    /// Somebody else has quarantined it; true if that is news.
    bool quarantine(const QuarantinedRequest &quarantined, Base::MonoTime now);
    /// For how long the request is quarantined yet.
    std::optional<Base::Duration> timeLeft(RequestFingerprint request, Base::MonoTime now) const;
    std::vector<QuarantinedRequest> quarantined(Base::MonoTime now) const;
    /// Nothing is known of any request: it need not be looked up.
    bool isEmpty() const { return m_crashes.empty() && m_quarantinedUntil.empty(); }

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

    bool isFresh(const Crashes &ends, Base::MonoTime now) const
    {
        return now - ends.lastAt < m_options.crashLifetime;
    }
    void evictIfFull(Base::MonoTime now);

    Options m_options;
    absl::flat_hash_map<RequestFingerprint, Crashes> m_crashes;
    absl::flat_hash_map<RequestFingerprint, Base::MonoTime>
        m_quarantinedUntil; ///< Of quarantined ones.
};

} // namespace Lagoonbank::Gateway
