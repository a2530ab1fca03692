#pragma once

#include "auto/simulation/history.h"
#include "auto/simulation/randomsource.h"
#include "auto/simulation/simulatedendpoints.h"
#include "auto/simulation/simulatedrouter.h"
#include "runtime/clock.h"

#include <functional>
#include <memory>
#include <vector>

namespace Simulation {

/// A fleet of routers with its store, links and endpoints on one virtual clock. Runs the steps of a
/// history.
class World
{
public:
    explicit World(const History &history);
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /// Advances the clock to \a until after the start of the history. Calls \a check once per
    /// \a interval and stops when it returns false.
    void play(Lagoonbank::Base::Duration until, Lagoonbank::Base::Duration interval,
              const std::function<bool()> &check);

    /// Time since the start of the history.
    Lagoonbank::Base::Duration elapsed() const { return m_clock.now() - m_startedAt; }
    Lagoonbank::Base::MonoTime now() const { return m_clock.now(); }
    const std::vector<std::unique_ptr<SimulatedRouter>> &routers() const { return m_routers; }
    const SimulatedEndpoints &endpoints() const { return *m_endpoints; }
    const SimulatedStore &store() const { return m_store; }
    /// End of the last fault of this VM, its links or its connection to the store; std::nullopt
    /// while a fault is active. A cut between routers does not count, as each router still
    /// reaches the store.
    std::optional<Lagoonbank::Base::MonoTime> faultFreeSince(VmIndex vm) const;
    /// End of the last fault of the store; std::nullopt while a fault is active.
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
    /// Calls \a change with 1 now, and with -1 when the step ends.
    void applyDuring(const Step &step, const std::function<void(int change)> &change);
    void applyFault(FaultState &state, const Step &step, const std::function<void(int)> &change);
    bool isStoreUnavailable() const
    {
        return m_storeFaults.activeRefusals + m_storeFaults.activeSilences > 0;
    }
    void configure(std::size_t bytes);
    void restoreStore(Lagoonbank::Base::MonoTime copyTime);
    void writeConfigurationAgain();
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
    std::vector<FaultState> m_vmFaults; ///< Fault state of each VM.
    FaultState m_storeFaultState;
    std::uint64_t m_revision = 0;
    std::string m_configuration; ///< As last written by the operator.
    RandomSource m_random;
};

} // namespace Simulation
