#include "auto/simulation/world.h"

#include "auto/simulation/simulatedconfiguration.h"

#include <algorithm>

namespace Simulation {

using namespace Lagoonbank;
using std::chrono::milliseconds;

namespace {

/// All VMs of a fleet start within this time.
constexpr Base::Duration startSpread = milliseconds(300);
constexpr std::size_t firstConfigurationBytes = 4000;
/// The operator writes again within this time what a restored store has lost.
constexpr Base::Duration rewriteTime = milliseconds(1900);
/// Revisions need not be consecutive.
constexpr std::uint64_t revisionStep = 3;

} // namespace

World::World(const History &history)
    : m_history(history)
    , m_random(history.seed)
{
    m_network = std::make_unique<SimulatedNetwork>(SimulatedNetwork::Options{
        .worldTimers = &m_timers,
        .seed = history.seed,
        .isSameDataCentre =
            [this](VmIndex a, VmIndex b) {
                return router(a).dataCentre() == router(b).dataCentre();
            },
        .post = [this](VmIndex vm,
                       std::function<void()> step) { return router(vm).post(std::move(step)); }});
    m_endpoints = std::make_unique<SimulatedEndpoints>(
        SimulatedEndpoints::Options{.store = &m_store,
                                    .storeFaults = &m_storeFaults,
                                    .worldTimers = &m_timers,
                                    .seed = history.seed,
                                    .count = history.endpoints});
    addRouters();
    m_vmFaults.resize(m_routers.size(), {.since = m_clock.now()});
    m_storeFaultState.since = m_clock.now();
    m_store.appended = [this](Topic topic) {
        for (const auto &each : m_routers)
            each->wake(topic);
    };
    configure(firstConfigurationBytes);
    m_endpoints->start();
    for (const Step &step : m_history.steps)
        m_timers.start(milliseconds(step.atMs), [this, step] { begin(step); });
}

void World::addRouters()
{
    RandomSource random(m_history.seed);
    for (std::size_t dc = 0; dc < m_history.dataCentres.size(); ++dc) {
        for (std::size_t i = 0; i < m_history.dataCentres[dc]; ++i) {
            const VmIndex vm = m_routers.size();
            m_routers.push_back(std::make_unique<SimulatedRouter>(SimulatedRouter::Options{
                .vm = vm,
                .dataCentre = "dc" + std::to_string(dc),
                .strength = static_cast<std::uint32_t>(100 * random.below(2)),
                .seed = m_history.seed * 31 + vm,
                .store = &m_store,
                .storeFaults = &m_storeFaults,
                .network = m_network.get(),
                .worldTimers = &m_timers,
                .events = &events,
                .find = [this](const Runtime::SocketAddress &address) -> SimulatedRouter * {
                    const auto found =
                        std::find_if(m_routers.begin(), m_routers.end(),
                                     [&](const auto &each) { return each->address() == address; });
                    return found == m_routers.end() ? nullptr : found->get();
                }}));
            m_timers.start(random.between(Base::Duration::zero(), startSpread),
                           [this, vm] { router(vm).start(); });
        }
    }
}

void World::play(Base::Duration until, Base::Duration interval, const std::function<bool()> &check)
{
    Base::MonoTime nextCheck = m_clock.now();
    const Base::MonoTime end = m_startedAt + until;
    while (m_clock.now() < end) {
        const Base::MonoTime due = std::max(std::min(nextDue(), nextCheck), m_clock.now());
        m_clock.advance(due - m_clock.now());
        m_timers.runDue();
        for (const auto &each : m_routers)
            each->runDue();
        if (m_clock.now() < nextCheck)
            continue;
        nextCheck = m_clock.now() + interval;
        if (!check())
            return;
    }
}

Base::MonoTime World::nextDue()
{
    Base::MonoTime next = m_timers.nextDue().value_or(Base::MonoTime::max());
    for (const auto &each : m_routers)
        next = std::min(next, each->nextDue().value_or(Base::MonoTime::max()));
    return next;
}

std::optional<Base::MonoTime> World::faultFreeSince(VmIndex vm) const
{
    const FaultState &state = m_vmFaults.at(vm);
    return state.activeFaults > 0 ? std::nullopt : std::optional(state.since);
}

std::optional<Base::MonoTime> World::storeFaultFreeSince() const
{
    return m_storeFaultState.activeFaults > 0 ? std::nullopt
                                              : std::optional(m_storeFaultState.since);
}

void World::begin(const Step &step)
{
    if (!beginStoreFault(step) && !beginLinkFault(step) && !beginProcessFault(step))
        applyInstantStep(step);
}

bool World::beginStoreFault(const Step &step)
{
    const auto forAllRouters = [&](int StoreFaults::*field) {
        applyFault(m_storeFaultState, step, [this, field](int change) {
            const bool wasUnavailable = isStoreUnavailable();
            m_storeFaults.*field += change;
            if (wasUnavailable && !isStoreUnavailable())
                m_endpoints->storeRecovered();
            else if (!wasUnavailable && isStoreUnavailable())
                m_endpoints->storeFailed();
        });
    };
    const auto forOneRouter = [&](int StoreFaults::*field) {
        applyFault(m_vmFaults.at(step.target), step, [this, step, field](int change) {
            router(step.target).storeFaults.*field += change;
        });
    };
    switch (step.kind) {
    case StepKind::StoreRefuses:
        forAllRouters(&StoreFaults::activeRefusals);
        return true;
    case StepKind::StoreSilent:
        forAllRouters(&StoreFaults::activeSilences);
        return true;
    case StepKind::StoreLosesAnswers:
        forAllRouters(&StoreFaults::activeAnswerLosses);
        return true;
    case StepKind::StoreSlow:
        forAllRouters(&StoreFaults::activeSlowdowns);
        return true;
    case StepKind::StoreRestored:
        // Takes effect before the refusals end.
        m_timers.start(milliseconds(step.durationMs),
                       [this, copyTime = m_clock.now() - milliseconds(step.value)] {
                           restoreStore(copyTime);
                       });
        forAllRouters(&StoreFaults::activeRefusals);
        return true;
    case StepKind::StoreRefusesOne:
        forOneRouter(&StoreFaults::activeRefusals);
        return true;
    case StepKind::StoreSilentForOne:
        forOneRouter(&StoreFaults::activeSilences);
        return true;
    default:
        return false;
    }
}

bool World::beginLinkFault(const Step &step)
{
    switch (step.kind) {
    case StepKind::CutOneWay:
        applyDuring(step,
                    [this, step](int change) { m_network->cut(step.target, step.other, change); });
        return true;
    case StepKind::CutBothWays:
        applyDuring(step, [this, step](int change) {
            m_network->cut(step.target, step.other, change);
            m_network->cut(step.other, step.target, change);
        });
        return true;
    case StepKind::CutDataCentre:
        cutDataCentre(step);
        return true;
    case StepKind::Lossy:
        applyFault(m_vmFaults.at(step.target), step, [this, step](int change) {
            m_network->addLoss(step.target, change * static_cast<int>(step.value));
        });
        return true;
    case StepKind::SlowLink:
        applyFault(m_vmFaults.at(step.target), step,
                   [this, step](int change) { m_network->slowDown(step.target, change); });
        return true;
    default:
        return false;
    }
}

void World::cutDataCentre(const Step &step)
{
    const std::string dataCentre = router(step.target).dataCentre();
    for (const auto &inside : m_routers) {
        if (inside->dataCentre() != dataCentre)
            continue;
        const VmIndex in = inside->vm();
        if (step.value == 1) {
            applyFault(m_vmFaults.at(in), step,
                       [this, in](int change) { router(in).storeFaults.activeSilences += change; });
        }
        for (const auto &outside : m_routers) {
            const VmIndex out = outside->vm();
            if (outside->dataCentre() == dataCentre)
                continue;
            applyDuring(step, [this, in, out](int change) {
                m_network->cut(in, out, change);
                m_network->cut(out, in, change);
            });
        }
    }
}

bool World::beginProcessFault(const Step &step)
{
    switch (step.kind) {
    case StepKind::Freeze:
        applyFault(m_vmFaults.at(step.target), step,
                   [this, step](int change) { router(step.target).freeze(change); });
        return true;
    case StepKind::Kill:
    case StepKind::Replace:
        applyFault(m_vmFaults.at(step.target), step, [this, step](int change) {
            SimulatedRouter &affected = router(step.target);
            if (change > 0)
                affected.kill();
            else if (step.kind == StepKind::Kill)
                affected.start();
            else
                affected.replace();
        });
        return true;
    case StepKind::KillAll:
        for (const auto &each : m_routers) {
            applyFault(m_vmFaults.at(each->vm()), step, [raw = each.get()](int change) {
                if (change > 0)
                    raw->kill();
                else
                    raw->start();
            });
        }
        return true;
    default:
        return false;
    }
}

void World::applyInstantStep(const Step &step)
{
    switch (step.kind) {
    case StepKind::StoreForgets:
        for (const Topic topic : {Topic::Configuration, Topic::Endpoints, Topic::Routers})
            m_store.trim(topic);
        break;
    case StepKind::Drain:
        m_endpoints->drain(step.target);
        break;
    case StepKind::Leave:
        m_endpoints->leave(step.target);
        break;
    case StepKind::Crash:
        m_endpoints->crash(step.target);
        break;
    case StepKind::StartAgain:
        m_endpoints->restart(step.target, static_cast<RestartTime>(step.value), step.other == 1);
        break;
    case StepKind::Unreadable:
        m_endpoints->writeUnreadable(step.target);
        break;
    case StepKind::LateWrite:
        m_endpoints->writeLate(step.target);
        break;
    default:
        configure(step.value);
        break;
    }
}

void World::applyDuring(const Step &step, const std::function<void(int change)> &change)
{
    change(1);
    m_timers.start(milliseconds(step.durationMs), [change] { change(-1); });
}

void World::applyFault(FaultState &state, const Step &step, const std::function<void(int)> &change)
{
    applyDuring(step, [this, &state, change](int difference) {
        state.activeFaults += difference;
        state.since = m_clock.now();
        change(difference);
    });
}

/// The operator's write is retried until the store is available.
void World::configure(std::size_t bytes)
{
    if (isStoreUnavailable()) {
        m_timers.start(milliseconds(100), [this, bytes] { configure(bytes); });
        return;
    }
    m_revision += revisionStep;
    m_configuration = toText(SimulatedConfiguration{.revision = m_revision, .bytes = bytes});
    m_store.append(Topic::Configuration, configurationKey, m_configuration);
}

void World::restoreStore(Base::MonoTime copyTime)
{
    m_store.restore(copyTime);
    m_endpoints->storeRestored();
    m_timers.start(m_random.between(Base::Duration::zero(), rewriteTime),
                   [this] { writeConfigurationAgain(); });
}

void World::writeConfigurationAgain()
{
    if (isStoreUnavailable()) {
        m_timers.start(milliseconds(100), [this] { writeConfigurationAgain(); });
        return;
    }
    const auto &keys = m_store.keys(Topic::Configuration);
    const auto current = keys.find(configurationKey);
    if (current == keys.end() || current->second.value != m_configuration)
        m_store.append(Topic::Configuration, configurationKey, m_configuration);
}

} // namespace Simulation
