#pragma once

#include "auto/simulation/randomsource.h"
#include "auto/simulation/storelink.h"

#include "fleet/endpoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Simulation {

/// The start time that an endpoint reports after a restart under the same id, compared with that of
/// its previous start.
enum class RestartTime : std::uint8_t { Later, Equal, Earlier };

/// The endpoints. Each writes its entry to the store periodically; an entry that has not been
/// written for three periods expires.
class SimulatedEndpoints
{
public:
    struct Options
    {
        SimulatedStore *store = nullptr;
        const StoreFaults *storeFaults = nullptr;
        Lagoonbank::Runtime::TimerQueue *worldTimers = nullptr;
        std::uint64_t seed = 1;
        std::size_t count = 1;
    };

    explicit SimulatedEndpoints(Options options);

    void start();
    void drain(std::size_t number);
    /// Stops the endpoint and removes its entry.
    void leave(std::size_t number);
    void crash(std::size_t number);
    void restart(std::size_t number, RestartTime startTime, bool isAtSameAddress);
    /// Replaces the entry by one that routers cannot parse, until the endpoint writes it again.
    void writeUnreadable(std::size_t number);
    /// Delivers a delayed write of the previous start.
    void writeLate(std::size_t number);
    /// To be called when the store becomes unavailable, and when it is available again.
    void storeFailed();
    void storeRecovered();
    /// To be called when the store has been restored from an older copy, before it is available
    /// again.
    void storeRestored();

    std::size_t count() const { return m_endpoints.size(); }
    static std::string id(std::size_t number) { return "endpoint-" + std::to_string(number); }
    static std::size_t numberOf(const Lagoonbank::Base::EndpointId &id);
    /// Whether the endpoint is ready but its entry expired during a store outage, and the time in
    /// which it writes the entry again is not over.
    bool isExpiredByOutage(std::size_t number) const;
    /// Whether the start with the reported time \a earlier preceded the one with \a later.
    bool isBefore(std::size_t number, Lagoonbank::Base::WallTime earlier,
                  Lagoonbank::Base::WallTime later) const;
    /// Whether the start with this reported time announced that it leaves, or ended, longer ago
    /// than \a time. Not known if another start reported the same or a later time, so that routers
    /// cannot tell them apart, or if an unreadable entry has made routers remove the endpoint.
    bool hasLeftBefore(std::size_t number, Lagoonbank::Base::WallTime startedAt,
                       Lagoonbank::Base::MonoTime time) const;
    /// Whether the current start reports an earlier time than a previous one.
    bool isClockSetBack(std::size_t number) const;

private:
    struct Process
    {
        Lagoonbank::Fleet::Endpoint endpoint;
        Lagoonbank::Fleet::EntrySequence sequence{1}; ///< Counts the changes of the entry.
        std::optional<std::string> previous; ///< Entry of the previous start.
        /// Reported start times in the order of the starts.
        std::vector<Lagoonbank::Base::WallTime> starts;
        std::map<Lagoonbank::Base::WallTime, Lagoonbank::Base::MonoTime> leftAt; ///< By start time.
        bool isAlive = true;
        bool wasUnreadable = false; ///< Reads of the log may still return an unreadable entry.
        bool isExpired = false; ///< Its entry expired during a store outage.
        Lagoonbank::Base::MonoTime writtenAt;
        Lagoonbank::Runtime::TimerId heartbeat;
        Lagoonbank::Runtime::TimerId end; ///< Fires when a drain completes.
    };

    static std::string entryOf(const Process &process);
    void recordLeft(Process &process) const;
    bool isStoreAvailable() const;
    void heartbeat(std::size_t number, Lagoonbank::Base::Duration delay);
    void write(Process &process);
    void checkExpiry();
    bool isExpiryDue(const Process &process) const;
    void expire(Process &process, bool isByOutage);

    Options m_options;
    RandomSource m_random;
    std::vector<Process> m_endpoints;
    Lagoonbank::Base::MonoTime m_storeFailedAt;
    /// End of the last outage that was long enough for every store reader to notice.
    std::optional<Lagoonbank::Base::MonoTime> m_noticedRecoveryAt;
    /// Time of the last restoration of the store, which starts the time until expiry anew.
    std::optional<Lagoonbank::Base::MonoTime> m_restoredAt;
    /// Whether the store drops expired entries during an outage or at its end.
    bool m_expiresDuringOutage = false;
};

} // namespace Simulation
