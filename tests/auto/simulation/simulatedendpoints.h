#pragma once

#include "auto/simulation/randomsource.h"
#include "auto/simulation/storelink.h"

#include "fleet/endpoint.h"

#include <optional>
#include <string>
#include <vector>

namespace Simulation {

/// How an endpoint that starts again under its id says when it started.
enum class RestartTime : std::uint8_t { Later, Equal, Earlier };

/// The endpoints: each writes its entry now and then, and the store drops one that has not been
/// written for three such times.
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
    /// Has its entry removed and is seen no more.
    void leave(std::size_t number);
    void crash(std::size_t number);
    void restart(std::size_t number, RestartTime how, bool isAtSameAddress);
    /// Its entry cannot be read until it is written next.
    void writeUnreadable(std::size_t number);
    /// A write of the start before this one arrives now.
    void writeLate(std::size_t number);
    /// The store is away, and answers again.
    void storeFailed();
    void storeRecovered();

    std::size_t count() const { return m_endpoints.size(); }
    static std::string id(std::size_t number) { return "endpoint-" + std::to_string(number); }
    static std::size_t numberOf(const Lagoonbank::Base::EndpointId &id);
    /// It runs and takes work; its entry has lapsed while the store was away, and the time in which
    /// it writes it again is not over.
    bool isExpiredByOutage(std::size_t number) const;
    /// Whether the start that says \a earlier came before the one that says \a later.
    bool isBefore(std::size_t number, Lagoonbank::Base::WallTime earlier,
                  Lagoonbank::Base::WallTime later) const;
    /// It says that it started earlier than a start before it did.
    bool isClockSetBack(std::size_t number) const;

private:
    struct Process
    {
        Lagoonbank::Fleet::Endpoint endpoint;
        std::optional<Lagoonbank::Fleet::Endpoint> previous; ///< The start before this one.
        std::vector<Lagoonbank::Base::WallTime> starts; ///< In their order, this one the last.
        bool isAlive = true;
        bool wasUnreadable = false; ///< Reads of the log may still come upon that.
        bool isExpired = false; ///< Its entry has lapsed while the store was away.
        Lagoonbank::Base::MonoTime writtenAt;
        Lagoonbank::Runtime::TimerId heartbeat;
        Lagoonbank::Runtime::TimerId end; ///< Of one that drains.
    };

    bool isStoreAvailable() const;
    void heartbeat(std::size_t number, Lagoonbank::Base::Duration delay);
    void write(Process &one);
    void checkExpiry();
    void expire(Process &one, bool isByOutage);

    Options m_options;
    RandomSource m_random;
    std::vector<Process> m_endpoints;
    Lagoonbank::Base::MonoTime m_storeFailedAt;
    /// From an outage that routers had to see.
    std::optional<Lagoonbank::Base::MonoTime> m_noticedRecoveryAt;
    bool m_expiresDuringOutage = false;
};

} // namespace Simulation
