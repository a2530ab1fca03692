#include "auto/simulation/simulatedrouter.h"

#include "auto/simulation/simulatedconfiguration.h"
#include "base/logoffset.h"
#include "schema/messagecodec.h"

#include <algorithm>
#include <utility>

namespace Simulation {

using namespace Lagoonbank;
using std::chrono::milliseconds;

namespace {

/// The values of Platform::RouterProcess.
constexpr Base::Duration endpointInterval = milliseconds(700);
constexpr Base::Duration configurationWait = milliseconds(1500);
constexpr Base::Duration initialBackoff = milliseconds(100);
constexpr Base::Duration maxBackoff = milliseconds(800);
constexpr std::uint16_t port = 7000;
constexpr std::uint64_t datagramHeaders = 28;
/// Datagrams that the socket buffer of a stopped process holds, some tens of KB.
constexpr std::size_t maxPendingSteps = 200;

} // namespace

SimulatedRouter::SimulatedRouter(Options options)
    : m_options(std::move(options))
    , m_timers(m_options.worldTimers->clock())
{ }

SimulatedRouter::~SimulatedRouter()
{
    kill();
}

void SimulatedRouter::start()
{
    if (m_run)
        return;
    ++m_runNumber;
    m_options.events->started(m_options.vm);
    m_run = std::make_unique<Run>();
    m_run->directory = std::make_unique<Fleet::EndpointDirectory>(
        Fleet::EndpointDirectory::Options{.timers = &m_timers});
    makeLink();
    m_run->sync = std::make_unique<FleetSync::FleetSync>(
        FleetSync::FleetSync::Options{.id = id(),
                                      .dataCentre = m_options.dataCentre,
                                      .port = port,
                                      .strength = m_options.strength,
                                      .directory = m_run->directory.get(),
                                      .timers = &m_timers,
                                      .randomSeed = m_options.seed + m_runNumber});
    wireViews();
    wireHealth();
    wireDirectory();
    wireSync();
    setReading(m_run->sync->readsStore());
    makeRegistry();
    m_run->sync->start();
    m_run->registry->start();
}

void SimulatedRouter::kill()
{
    if (!m_run)
        return;
    // The destruction of the directory is not reported as removal of its endpoints.
    m_run->directory->changed = nullptr;
    m_run->directory->removed = nullptr;
    m_run.reset();
    m_pendingSteps.clear();
}

void SimulatedRouter::replace()
{
    kill();
    ++m_replacements;
    start();
}

void SimulatedRouter::freeze(int change)
{
    m_freezeCount += change;
    if (isFrozen())
        return;
    // The event loop runs due timers first.
    runDue();
    for (const std::function<void()> &step : std::exchange(m_pendingSteps, {}))
        step();
}

bool SimulatedRouter::post(std::function<void()> step)
{
    if (!m_run)
        return false;
    auto inThisRun = [this, run = m_runNumber, step = std::move(step)] {
        if (m_run && run == m_runNumber)
            step();
    };
    if (!isFrozen())
        inThisRun();
    else if (m_pendingSteps.size() < maxPendingSteps)
        m_pendingSteps.emplace_back(std::move(inThisRun));
    return true;
}

void SimulatedRouter::runDue()
{
    if (!isFrozen())
        m_timers.runDue();
}

std::optional<Base::MonoTime> SimulatedRouter::nextDue()
{
    return isFrozen() ? std::nullopt : m_timers.nextDue();
}

Runtime::SocketAddress SimulatedRouter::address() const
{
    return {"10.0.0." + std::to_string(m_options.vm + 1), port};
}

std::string SimulatedRouter::id() const
{
    // As long as the users' router names.
    std::string name = "edge-data-centre-r" + std::to_string(m_options.vm);
    if (m_replacements > 0)
        name += "-" + std::to_string(m_replacements);
    return name;
}

void SimulatedRouter::makeLink()
{
    m_run->link = std::make_unique<StoreLink>(StoreLink::Options{
        .store = m_options.store,
        .sharedFaults = m_options.storeFaults,
        .routerFaults = &storeFaults,
        .worldTimers = m_options.worldTimers,
        .timers = &m_timers,
        .post = [this](std::function<void()> step) { post(std::move(step)); },
        .answeredInEra = [run = m_run.get()](Base::LogEra era) { run->sync->setStoreEra(era); },
        .seed = m_options.seed + m_runNumber});
}

KeyedLog::KeyedView::Options SimulatedRouter::viewOptions(Topic topic)
{
    return {.source = m_run->link->source(topic),
            .timers = &m_timers,
            .backoff = {.initial = initialBackoff, .max = maxBackoff, .seed = m_options.seed}};
}

void SimulatedRouter::wireViews()
{
    Run *run = m_run.get();
    KeyedLog::KeyedView::Options options = viewOptions(Topic::Configuration);
    options.wait = configurationWait;
    options.reportsNewestOnly = true;
    run->configurationView = std::make_unique<KeyedLog::KeyedView>(std::move(options));
    run->configurationView->valueChanged = [this](const KeyedLog::KeyedRecord &record) {
        if (record.key == configurationKey)
            applyConfiguration(*record.value, record.offset);
    };
    options = viewOptions(Topic::Endpoints);
    options.interval = endpointInterval;
    run->endpointView = std::make_unique<KeyedLog::KeyedView>(std::move(options));
    run->endpointView->valueChanged = [this](const KeyedLog::KeyedRecord &record) {
        endpointWritten(record);
    };
    run->endpointView->keyDropped = [run](const std::string &key, Base::LogOffset offset) {
        run->directory->entryDropped(Base::EndpointId(key), offset);
    };
    run->endpointView->listingCompleted = [run](const KeyedLog::KeyedView::Keys &keys,
                                                Base::LogOffset end) {
        absl::flat_hash_set<Base::EndpointId> present;
        for (const std::string &key : keys)
            present.insert(Base::EndpointId(key));
        run->directory->reconcile(present, end);
    };
    run->endpointView->caughtUp = [run] { run->sync->storeRead(); };
}

void SimulatedRouter::wireHealth()
{
    m_run->endpointView->healthChanged = [run = m_run.get()](bool isUp) {
        if (isUp)
            run->sync->storeReturned();
        else
            run->sync->storeFailed();
    };
}

void SimulatedRouter::wireDirectory()
{
    Run *run = m_run.get();
    run->directory->changed = [this, run](const Fleet::EndpointDirectory::Entry &entry) {
        m_options.events->changed(m_options.vm, entry.endpoint);
        run->sync->endpointChanged(entry, false);
    };
    run->directory->removed = [this, run](const Fleet::EndpointDirectory::Entry &last) {
        m_options.events->removed(m_options.vm, last.endpoint);
        run->sync->endpointChanged(last, true);
    };
}

void SimulatedRouter::wireSync()
{
    FleetSync::FleetSync &sync = *m_run->sync;
    sync.roleChanged = [this](bool reads) { setReading(reads); };
    sync.storeEraChanged = [this](std::optional<Base::LogEra> before, Base::LogEra era) {
        if (before)
            m_run->registry->writeAgain();
        // Not at once: this may be called for the answer to a read of one of the views.
        m_timers.start(Base::Duration::zero(), [this, era, run = m_runNumber] {
            if (!m_run || run != m_runNumber)
                return;
            m_run->configurationView->setEra(era);
            m_run->endpointView->setEra(era);
        });
    };
    sync.configurationPulled = [this](const FleetSync::StoredConfiguration &configuration) {
        applyConfiguration(configuration.packed, configuration.offset);
    };
    sync.send = [this](const Runtime::SocketAddress &to, const Schema::FleetBeacon &beacon) {
        m_sentBytes += datagramHeaders + Schema::encodeMessage(beacon).value().size();
        SimulatedRouter *peer = m_options.find(to);
        if (!peer)
            return;
        m_options.network->sendDatagram(
            m_options.vm, peer->vm(),
            [peer, ip = address().ip, beacon] { peer->m_run->sync->receive(ip, beacon); });
    };
    sync.pull = [this](const auto &peer, const auto &request) { pull(peer, request); };
}

void SimulatedRouter::pull(const Runtime::SocketAddress &to,
                           const Schema::FleetStateRequest &request)
{
    ++m_pulls;
    SimulatedRouter *peer = m_options.find(to);
    m_options.events->pulled(m_options.vm, peer->vm(), ++m_run->pullsInFlight);
    m_options.network->pull(
        m_options.vm, peer->vm(), [peer, request] { return peer->m_run->sync->answer(request); },
        [this, run = m_runNumber](const Schema::FleetStateAnswer *answer) {
            if (run == m_runNumber)
                pullEnded(answer);
        });
}

void SimulatedRouter::pullEnded(const Schema::FleetStateAnswer *answer)
{
    --m_run->pullsInFlight;
    if (answer)
        m_run->sync->pullSucceeded(*answer);
    else
        m_run->sync->pullFailed();
}

void SimulatedRouter::makeRegistry()
{
    const KeyedLog::KeyedView::Options view = viewOptions(Topic::Routers);
    m_run->registry = std::make_unique<FleetSync::RouterRegistry>(
        FleetSync::RouterRegistry::Options{.source = view.source,
                                           .write = m_run->link->write(Topic::Routers),
                                           .timers = &m_timers,
                                           .sync = m_run->sync.get(),
                                           .id = id(),
                                           .dataCentre = m_options.dataCentre,
                                           .address = address(),
                                           .strength = m_options.strength,
                                           .backoff = view.backoff});
}

void SimulatedRouter::setReading(bool reads)
{
    m_options.events->readingChanged(m_options.vm, reads);
    if (!reads) {
        m_run->configurationView->stop();
        m_run->endpointView->stop();
        return;
    }
    if (m_run->configurationOffset)
        m_run->configurationView->startAfter(*m_run->configurationOffset);
    else
        m_run->configurationView->start();
    m_run->endpointView->start();
}

void SimulatedRouter::applyConfiguration(const std::string &text, Base::LogOffset offset)
{
    const std::optional<Base::LogOffset> known = m_run->configurationOffset;
    if (known && offset <= *known && Base::eraOf(offset) == Base::eraOf(*known))
        return;
    m_run->configurationOffset = std::max(known.value_or(offset), offset);
    const std::uint64_t revision = readConfiguration(text).revision;
    if (revision <= m_run->configuration)
        return;
    m_options.events->configured(m_options.vm, m_run->configuration, revision);
    m_run->configuration = revision;
    m_run->sync->setConfiguration(
        {.revision = Base::Revision(revision), .offset = offset, .packed = text});
}

void SimulatedRouter::endpointWritten(const KeyedLog::KeyedRecord &record)
{
    auto endpoint = readEndpoint(record.key, *record.value);
    if (endpoint)
        m_run->directory->put({.endpoint = std::move(*endpoint),
                               .version = record.offset,
                               .sequence = readSequence(*record.value)});
    else
        m_run->directory->remove({.id = Base::EndpointId(record.key), .version = record.offset});
}

void SimulatedRouter::wake(Topic topic)
{
    if (m_run)
        m_run->link->wake(topic);
}

} // namespace Simulation
