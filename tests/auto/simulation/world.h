#pragma once

#include "auto/simulation/history.h"
#include "auto/simulation/simulatedendpoints.h"
#include "auto/simulation/simulatedrouter.h"
#include "runtime/clock.h"

#include <functional>
#include <memory>
#include <vector>

namespace Simulation {

/// A fleet of routers, its store, links and endpoints on one virtual clock, to which the steps of
/// a history happen.
class World
{
public:
    explicit World(const History &history);
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /// Lets time pass; \a look is called again and again, \a interval apart.
    void play(Lagoonbank::Base::Duration until, Lagoonbank::Base::Duration interval,
              const std::function<bool()> &check);

    /// Since the start of the history.
    Lagoonbank::Base::Duration elapsed() const { return m_clock.now() - m_startedAt; }
    Lagoonbank::Base::MonoTime now() const { return m_clock.now(); }
    const std::vector<std::unique_ptr<SimulatedRouter>> &routers() const { return m_routers; }
    const SimulatedEndpoints &endpoints() const { return *m_endpoints; }
    const SimulatedStore &store() const { return m_store; }
    /// Since when nothing was done to this VM, its links, or its way to the store; nothing while
    /// something is. A cut between routers is none: each still reaches the store.
    std::optional<Lagoonbank::Base::MonoTime> faultFreeSince(VmIndex vm) const;
    /// The same of the store.
    std::optional<Lagoonbank::Base::MonoTime> storeFaultFreeSince() const;

    RouterEvents events;

private:
    struct FaultState
    {
        int activeFaults = 0;
        Lagoonbank::Base::MonoTime since{};
    };

    void addRouters();
    void begin(const Step &step);
    bool beginStoreFault(const Step &step);
    bool beginLinkFault(const Step &step);
    bool beginProcessFault(const Step &step);
    void applyInstantStep(const Step &step);
    void cutDataCentre(const Step &step);
    /// Does \a change with 1 now, and with -1 when the step ends.
    void applyDuring(const Step &step, const std::function<void(int change)> &change);
    void applyFault(FaultState &calm, const Step &step, const std::function<void(int)> &change);
    bool isStoreUnavailable() const { return m_storeFaults.refuses + m_storeFaults.silent > 0; }
    void configure(std::size_t bytes);
    SimulatedRouter &router(VmIndex vm) { return *m_routers.at(vm); }
    Lagoonbank::Base::MonoTime nextDue();

    History m_history;
    Lagoonbank::Runtime::ManualClock m_clock;
    Lagoonbank::Base::MonoTime m_startedAt = m_clock.now();
    Lagoonbank::Runtime::TimerQueue m_timers{m_clock};
    SimulatedStore m_store{m_clock};
    StoreFaults m_storeFaults;
    std::unique_ptr<SimulatedNetwork> m_network;
    std::unique_ptr<SimulatedEndpoints> m_endpoints;
    std::vector<std::unique_ptr<SimulatedRouter>> m_routers;
    std::vector<FaultState> m_vmFaults; ///< Of each place.
    FaultState m_storeFaultState;
    std::uint64_t m_revision = 0;
};

} // namespace Simulation
