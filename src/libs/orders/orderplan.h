#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Orders {

/// Settings of an endpoint that orders change. A field without a value is left unchanged.
struct EndpointSettings
{
    std::optional<std::string> model;
    std::optional<std::string> adapter;
    std::optional<std::string> version;
    std::optional<std::string> role;
    std::optional<bool> draining;

    bool operator==(const EndpointSettings &) const = default;
    bool isEmpty() const { return *this == EndpointSettings(); }
};

/// One order to an endpoint. Contains absolute values, so that repeating it is harmless.
struct Order
{
    Base::EndpointId endpoint;
    std::string id; ///< Equal for equal settings and revision; lets endpoints detect a repeat.
    EndpointSettings set;
    bool loadsWeights = false; ///< Counts towards the rate limit of the weight store.
};

/// The order that changes an endpoint from its \a observed to its \a desired settings; no value if
/// nothing differs.
std::optional<Order> planOrder(const Base::EndpointId &endpoint, const EndpointSettings &desired,
                               const EndpointSettings &observed, Base::Revision revision);

/// Limits the number of concurrent weight loads, spaces their starts, and backs off after the
/// weight store refused a load.
class WeightLoadLimiter
{
public:
    struct Options
    {
        std::size_t maxConcurrentLoads = 2;
        /// Minimum time between the starts of two loads.
        Base::Duration minStartInterval = std::chrono::seconds(1);
        /// A load that takes longer counts as lost.
        Base::Duration loadTimeout = std::chrono::minutes(10);
    };

    explicit WeightLoadLimiter(const Options &options)
        : m_options(options)
    { }

    /// Whether another load may start now.
    bool mayStart(Base::MonoTime now);
    /// To be called when a load on the endpoint has started.
    void started(const Base::EndpointId &endpoint, Base::MonoTime now);
    /// To be called when a load on the endpoint has ended.
    void finished(const Base::EndpointId &endpoint) { m_runningLoads.erase(endpoint); }
    /// To be called when the weight store responded with status 429.
    void noteStoreRefusal(const Base::EndpointId &endpoint, Base::Duration retryAfter,
                          Base::MonoTime now);

private:
    Options m_options;
    /// Start times of the loads in progress.
    std::map<Base::EndpointId, Base::MonoTime> m_runningLoads;
    Base::MonoTime m_nextStartAt{};
};

enum class DrainStep : std::uint8_t {
    OrderDraining, ///< Set `draining` and announce it by gossip.
    ExportCache, ///< Move the KV caches of hot chats.
    Wait, ///< Requests are still in flight.
    Done
};

/// Observed state of an endpoint that is to be drained.
struct DrainView
{
    bool isDraining = false; ///< As reported by the endpoint.
    std::size_t chatsToExport = 0;
    std::size_t inFlight = 0; ///< Running and queued.
    Base::Duration sinceDraining{}; ///< Time since the endpoint was first observed draining.
};

/// The next step of a drain. Exports end after \a maxExportTime; requests in flight are never
/// interrupted.
DrainStep nextDrainStep(const DrainView &view,
                        Base::Duration maxExportTime = std::chrono::seconds(60));

/// Assigns the endpoints of a data centre to the members that probe them, by rendezvous hashing, so
/// that a change of members reassigns few endpoints.
class ProbeSchedule
{
public:
    struct Options
    {
        std::size_t probersPerEndpoint = 2;
        /// Time between two probes by the same prober.
        Base::Duration period = std::chrono::seconds(1);
        double bytesPerProbe = 600; ///< Request, TCP acknowledgements of the response, and headers.
        /// Limit of a member's probes; part of its control budget.
        double maxProbeBytesPerSecond = 1500;
    };
    struct Assignment
    {
        std::vector<Base::EndpointId> endpoints;
        Base::Duration period; ///< Longer than Options::period if the budget requires it.
    };

    explicit ProbeSchedule(const Options &options)
        : m_options(options)
    { }

    /// The endpoints that \a member has to probe, of those in \a endpoints, and the period of its
    /// probes. \a members are all members that share the probing.
    Assignment probesOf(const std::string &member, const std::vector<std::string> &members,
                        const std::vector<Base::EndpointId> &endpoints) const;

private:
    Options m_options;
};

} // namespace Lagoonbank::Orders
