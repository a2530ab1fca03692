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

/// What orders set on an endpoint; in a desired state an absent field is left as it is.
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

/// One order: values to set, never changes to add, so that a repeat does no harm.
struct Order
{
    Base::EndpointId endpoint;
    std::string id; ///< The same for the same wish, so that an endpoint can tell a repeat.
    EndpointSettings set;
    bool loadsWeights = false; ///< Counts against the weight store's rate.
};

/// What is still to be set on an endpoint whose state was read; none if it is as desired.
std::optional<Order> planOrder(const Base::EndpointId &endpoint, const EndpointSettings &desired,
                               const EndpointSettings &seen, Base::Revision revision);

/// Lets few loads of weights run at a time, spaced, and holds back after the store refused one.
class WeightLoadLimiter
{
public:
    struct Options
    {
        std::size_t maxRunning = 2;
        Base::Duration spacing = std::chrono::seconds(1);
        Base::Duration loadTimeout = std::chrono::minutes(10); ///< Then a load counts as lost.
    };

    explicit WeightLoadLimiter(const Options &options)
        : m_options(options)
    { }

    bool mayStart(Base::MonoTime now);
    void started(const Base::EndpointId &endpoint, Base::MonoTime now);
    void finished(const Base::EndpointId &endpoint) { m_running.erase(endpoint); }
    /// The store answered 429.
    void refused(const Base::EndpointId &endpoint, Base::Duration retryAfter, Base::MonoTime now);

private:
    Options m_options;
    std::map<Base::EndpointId, Base::MonoTime> m_running;
    Base::MonoTime m_nextAt{};
};

enum class DrainStep : std::uint8_t {
    OrderDraining, ///< Set `draining`, and let gossip say that it leaves.
    ExportCache, ///< Move the KV cache of hot chats.
    Wait, ///< Requests are still in flight.
    Done
};

/// What was seen of an endpoint that is to leave.
struct DrainView
{
    bool isDraining = false; ///< Its state says so.
    std::size_t chatsToExport = 0;
    std::size_t inFlight = 0; ///< Running and queued.
    Base::Duration sinceDraining{}; ///< Since it was seen draining.
};

/// The next step of a drain. Exports end after a while; requests in flight are never cut.
DrainStep nextDrainStep(const DrainView &view,
                        Base::Duration longestExport = std::chrono::seconds(60));

/// Which members of a data centre probe which of its endpoints, by rendezvous hashing, so that a
/// change of members moves few.
class ProbeSchedule
{
public:
    struct Options
    {
        std::size_t probersPerEndpoint = 2;
        Base::Duration period = std::chrono::seconds(1); ///< Between two probes by one prober.
        double bytesPerProbe = 600; ///< Request, answer's acknowledgements and headers.
        double bytesPerSecond = 1500; ///< Share of the control budget.
    };
    struct Result
    {
        std::vector<Base::EndpointId> endpoints;
        Base::Duration period; ///< Longer than asked for where the budget says so.
    };

    explicit ProbeSchedule(const Options &options)
        : m_options(options)
    { }

    Result probesOf(const std::string &member, const std::vector<std::string> &members,
                    const std::vector<Base::EndpointId> &endpoints) const;

private:
    Options m_options;
};

} // namespace Lagoonbank::Orders
