#pragma once

#include "auto/simulation/simulatednetwork.h"
#include "auto/simulation/storelink.h"

#include "fleet/endpointdirectory.h"
#include "fleetsync/fleetsync.h"
#include "fleetsync/routerregistry.h"
#include "keyedlog/keyedview.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Simulation {

/// Called synchronously when something happens in a router.
struct RouterEvents
{
    std::function<void(VmIndex vm)> started;
    std::function<void(VmIndex vm, std::uint64_t oldRevision, std::uint64_t newRevision)>
        configured;
    std::function<void(VmIndex vm, const Lagoonbank::Fleet::Endpoint &endpoint)> changed;
    std::function<void(VmIndex vm, const Lagoonbank::Fleet::Endpoint &endpoint)> removed;
    std::function<void(VmIndex vm, VmIndex from, std::size_t inFlight)> pulled;
    std::function<void(VmIndex vm, bool reads)> readingChanged;
};

/// A VM with a router: the production FleetSync, views, directory and registry, connected as in
/// Platform::RouterProcess. It has its own timer queue, which does not run while it is frozen.
class SimulatedRouter
{
public:
    struct Options
    {
        VmIndex vm = 0;
        std::string dataCentre;
        std::uint32_t strength = 0;
        std::uint64_t seed = 1;
        SimulatedStore *store = nullptr;
        const StoreFaults *storeFaults = nullptr;
        SimulatedNetwork *network = nullptr;
        Lagoonbank::Runtime::TimerQueue *worldTimers = nullptr;
        const RouterEvents *events = nullptr;
        /// The router at an address; null if the fleet has no VM there.
        std::function<SimulatedRouter *(const Lagoonbank::Runtime::SocketAddress &address)> find;
    };

    explicit SimulatedRouter(Options options);
    ~SimulatedRouter();

    void start();
    void kill();
    /// Starts a new router with another id at the same address.
    void replace();
    /// Freezes (1) or resumes (-1) the process; overlapping freezes are counted.
    void freeze(int change);
    /// Runs \a step now, or when the process resumes after a freeze. Returns whether the router is
    /// up.
    bool post(std::function<void()> step);
    /// Notifies the router of a new record in the store.
    void wake(Topic topic);
    void runDue();
    std::optional<Lagoonbank::Base::MonoTime> nextDue();

    bool isUp() const { return m_run != nullptr; }
    bool isFrozen() const { return m_freezeCount > 0; }
    bool isReading() const { return m_run && m_run->sync->readsStore(); }
    bool isLeader() const { return m_run && m_run->sync->isLeader(); }
    VmIndex vm() const { return m_options.vm; }
    const std::string &dataCentre() const { return m_options.dataCentre; }
    Lagoonbank::Runtime::SocketAddress address() const;
    // directory(), sync() and configuration() may be called only while the router is up.
    const Lagoonbank::Fleet::EndpointDirectory &directory() const { return *m_run->directory; }
    const Lagoonbank::FleetSync::FleetSync &sync() const { return *m_run->sync; }
    std::uint64_t configuration() const { return m_run->configuration; }
    std::uint64_t sentBytes() const { return m_sentBytes; }
    std::uint64_t pulls() const { return m_pulls; }

    StoreFaults storeFaults; ///< Faults that affect only this router.

private:
    /// State of one run of the process. The order of the members matters for their destruction.
    struct Run
    {
        std::unique_ptr<Lagoonbank::Fleet::EndpointDirectory> directory;
        std::unique_ptr<StoreLink> link;
        std::unique_ptr<Lagoonbank::FleetSync::FleetSync> sync;
        std::unique_ptr<Lagoonbank::KeyedLog::KeyedView> configurationView;
        std::unique_ptr<Lagoonbank::KeyedLog::KeyedView> endpointView;
        std::unique_ptr<Lagoonbank::FleetSync::RouterRegistry> registry;
        std::uint64_t configuration = 0;
        std::optional<Lagoonbank::Base::LogOffset> configurationOffset;
        std::size_t pullsInFlight = 0;
    };

    Lagoonbank::KeyedLog::KeyedView::Options viewOptions(Topic topic);
    void makeLink();
    void wireDirectory();
    void wireViews();
    void wireHealth();
    void wireSync();
    void makeRegistry();
    void pull(const Lagoonbank::Runtime::SocketAddress &peer,
              const Lagoonbank::Schema::FleetStateRequest &request);
    void pullEnded(const Lagoonbank::Schema::FleetStateAnswer *answer);
    void setReading(bool reads);
    void applyConfiguration(const std::string &text, Lagoonbank::Base::LogOffset offset);
    void endpointWritten(const Lagoonbank::KeyedLog::KeyedRecord &record);
    std::string id() const;

    Options m_options;
    Lagoonbank::Runtime::TimerQueue m_timers;
    std::unique_ptr<Run> m_run;
    std::uint64_t m_runNumber = 0;
    int m_replacements = 0;
    int m_freezeCount = 0;
    std::vector<std::function<void()>> m_pendingSteps; ///< Posted while the process was frozen.
    std::uint64_t m_sentBytes = 0; ///< Bytes of beacons, including UDP and IP headers.
    std::uint64_t m_pulls = 0;
};

} // namespace Simulation
