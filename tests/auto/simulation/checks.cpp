#include "auto/simulation/checks.h"

#include "auto/simulation/simulatedconfiguration.h"

#include <algorithm>
#include <functional>

namespace Simulation {

using namespace Lagoonbank;
using std::chrono::milliseconds;

namespace {

/// Maximum time until a stable router has received a record that the store acknowledged.
constexpr Base::Duration propagationBound = milliseconds(2000);
/// A VM or the store is stable after this time without a fault.
constexpr Base::Duration stableTime = milliseconds(3000);
/// Time added to stableTime for a VM. A router whose call got no answer from the store starts to
/// wait for missing entries only after the call has timed out (0.7 s) and a backoff (0.8 s) has
/// passed; the backoff delays it by 0.8 s more than necessary.
constexpr Base::Duration detectionTime = milliseconds(800);
/// Maximum propagation time after the store's return: detection after a call without answer (0.7 s)
/// and a backoff (0.8 s), the wait for missing entries (2.2 s), and the next beacons.
constexpr Base::Duration recoveryBound = milliseconds(5000);
/// Additional time until all routers accept an endpoint that restarted with its clock set back. The
/// first router accepts it when it writes its entry again, after 1.2 s; the others receive the
/// entry from a peer or read it themselves.
constexpr Base::Duration repeatedWriteTime = milliseconds(3000);
/// After the last step, entries may still expire (3.6 s), and endpoints may still finish a drain or
/// write their entries again (1.9 s).
constexpr Base::Duration timeUntilQuiet = milliseconds(4000);
/// Maximum time after timeUntilQuiet until all routers agree: recoveryBound plus a takeover.
constexpr Base::Duration agreementBound = milliseconds(6000);
/// Maximum time without exactly one leader or store reader. A router that misses a beacon of the
/// store reader may start to read too; it stops once it has received a beacon of the first reader
/// again.
constexpr Base::Duration takeoverTime = milliseconds(1200);
/// How long the settled fleet is observed.
constexpr Base::Duration observationTime = milliseconds(3000);
/// Maximum control traffic of a router.
constexpr std::uint64_t maxBytesPerSecond = 5000;
/// Maximum age of a router's state: a store reader reads every 0.7 s, and its beacons follow within
/// 0.5 s.
constexpr Base::Duration maxStateAge = milliseconds(2000);

std::string describe(const Fleet::Endpoint *endpoint)
{
    return endpoint ? toText(*endpoint) : std::string("nothing");
}

} // namespace

Checks::Checks(World &world, const History &history)
    : m_world(world)
    , m_quietSince(milliseconds(endOfStepsMs(history)) + timeUntilQuiet)
{
    watchEvents();
}

Base::Duration Checks::end() const
{
    return m_quietSince + agreementBound + observationTime;
}

void Checks::watchEvents()
{
    m_world.events.started = [this](VmIndex vm) {
        addToFingerprint(vm, 0);
        writeTrace(vm, "starts");
        std::erase_if(m_latestStarts, [vm](const auto &start) { return start.first.first == vm; });
        std::erase_if(m_leftStarts, [vm](const auto &start) { return std::get<0>(start) == vm; });
    };
    m_world.events.configured = [this](VmIndex vm, std::uint64_t oldRevision,
                                       std::uint64_t newRevision) {
        addToFingerprint(vm, newRevision);
        writeTrace(vm, "configuration " + std::to_string(newRevision));
        if (newRevision <= oldRevision)
            reportViolation("a router applied an older configuration", std::to_string(newRevision));
    };
    m_world.events.changed = [this](VmIndex vm, const Fleet::Endpoint &endpoint) {
        checkChange(vm, endpoint);
    };
    m_world.events.removed = [this](VmIndex vm, const Fleet::Endpoint &endpoint) {
        checkRemoval(vm, endpoint);
    };
    m_world.events.readingChanged = [this](VmIndex vm, bool reads) {
        writeTrace(vm, reads ? "reads" : "stops reading the store");
    };
    m_world.events.pulled = [this](VmIndex vm, VmIndex from, std::size_t inFlight) {
        addToFingerprint(vm, inFlight);
        writeTrace(vm, "pulls from router " + std::to_string(from));
        if (inFlight > 1)
            reportViolation("a router has concurrent pulls", "router " + std::to_string(vm));
    };
}

void Checks::addToFingerprint(VmIndex vm, std::uint64_t value)
{
    const auto time = static_cast<std::uint64_t>(m_world.elapsed().count());
    m_fingerprint += RandomSource(time * 31 + vm * 7 + value).next();
}

void Checks::writeTrace(VmIndex vm, const std::string &event) const
{
    if (trace)
        trace(std::to_string(Base::toMilliseconds(m_world.elapsed())) + " ms, router "
              + std::to_string(vm) + ": " + event);
}

void Checks::reportViolation(const std::string &rule, const std::string &detail)
{
    if (!m_violation)
        m_violation = {rule, detail, Base::toMilliseconds(m_world.elapsed())};
}

void Checks::checkChange(VmIndex vm, const Fleet::Endpoint &endpoint)
{
    addToFingerprint(vm, SimulatedEndpoints::numberOf(endpoint.id));
    writeTrace(vm, endpoint.id.value() + " is " + toText(endpoint));
    if (!endpoint.startedAt)
        return;
    auto &newest =
        m_latestStarts.try_emplace({vm, endpoint.id.value()}, *endpoint.startedAt).first->second;
    const std::size_t number = SimulatedEndpoints::numberOf(endpoint.id);
    // If a clock was set back, a late write of the previous start looks like a new start.
    if (!m_world.endpoints().isClockSetBack(number)
        && m_world.endpoints().isBefore(number, *endpoint.startedAt, newest)) {
        reportViolation("an older start replaced a newer one",
                        endpoint.id.value() + " at router " + std::to_string(vm));
    }
    newest = *endpoint.startedAt;
    const auto start = std::make_tuple(vm, endpoint.id.value(), *endpoint.startedAt);
    // Records from just before an endpoint left may be read after it is known to have left.
    const bool hasLeft = m_world.endpoints().hasLeftBefore(number, *endpoint.startedAt,
                                                           m_world.now() - propagationBound);
    if (endpoint.state == Fleet::EndpointState::Draining)
        m_leftStarts.insert(start);
    else if (hasLeft && m_leftStarts.contains(start))
        reportViolation("an endpoint that is known to have left became ready again",
                        endpoint.id.value() + " at router " + std::to_string(vm));
}

void Checks::checkRemoval(VmIndex vm, const Fleet::Endpoint &endpoint)
{
    const std::size_t number = SimulatedEndpoints::numberOf(endpoint.id);
    addToFingerprint(vm, number);
    writeTrace(vm, endpoint.id.value() + " removed");
    m_latestStarts.erase({vm, endpoint.id.value()});
    if (endpoint.startedAt)
        m_leftStarts.insert({vm, endpoint.id.value(), *endpoint.startedAt});
    if (m_world.endpoints().isExpiredByOutage(number)) {
        reportViolation("a router removed an endpoint whose entry expired during a store outage",
                        endpoint.id.value() + " at router " + std::to_string(vm));
    }
}

std::uint64_t Checks::stateHash() const
{
    std::string text;
    for (const auto &router : m_world.routers()) {
        text += '\n';
        if (!router->isUp())
            continue;
        text += std::string(router->isReading()      ? "reads "
                                : router->isLeader() ? "leads "
                                                     : "follows ")
            + std::to_string(router->configuration());
        for (std::size_t i = 0; i < m_world.endpoints().count(); ++i) {
            const Fleet::Endpoint *known =
                router->directory().find(Base::EndpointId(SimulatedEndpoints::id(i)));
            text += known ? (known->state == Fleet::EndpointState::Ready ? " ready " : " draining ")
                    + std::to_string(known->address.port)
                          : std::string(" none");
        }
    }
    return std::hash<std::string>()(text);
}

bool Checks::check()
{
    m_states.insert(stateHash());
    for (const auto &router : m_world.routers()) {
        if (isStable(*router))
            checkRouter(*router, propagationBound, recoveryBound);
    }
    const Base::Duration settledAt = m_quietSince + agreementBound;
    if (m_world.elapsed() >= settledAt)
        checkSettled();
    return !m_violation;
}

bool Checks::isStable(const SimulatedRouter &router) const
{
    const auto vmSince = m_world.faultFreeSince(router.vm());
    const auto storeSince = m_world.storeFaultFreeSince();
    return router.isUp() && vmSince && storeSince
        && m_world.now() - *vmSince >= stableTime + detectionTime
        && m_world.now() - *storeSince >= stableTime;
}

bool Checks::isDue(Base::MonoTime writtenAt, Duration maxDelay, Duration maxDelayAfterOutage) const
{
    const Base::MonoTime stableFrom = *m_world.storeFaultFreeSince() + stableTime;
    if (writtenAt >= stableFrom)
        return m_world.now() - writtenAt > maxDelay;
    return m_world.now() - std::max(writtenAt, *m_world.storeFaultFreeSince())
        > maxDelayAfterOutage;
}

void Checks::checkRouter(const SimulatedRouter &router, Duration maxDelay,
                         Duration maxDelayAfterOutage)
{
    for (const auto &[id, newest] : m_world.store().keys(Topic::Endpoints)) {
        const std::size_t number = SimulatedEndpoints::numberOf(Base::EndpointId(id));
        const Duration extra =
            m_world.endpoints().isClockSetBack(number) ? repeatedWriteTime : Duration::zero();
        if (isDue(newest.writtenAt, maxDelay + extra, maxDelayAfterOutage + extra))
            checkEndpoint(router, id, newest);
    }
    for (const auto &[key, newest] : m_world.store().keys(Topic::Configuration)) {
        const std::uint64_t revision = readConfiguration(*newest.value).revision;
        if (isDue(newest.writtenAt, maxDelay, maxDelayAfterOutage)
            && router.configuration() < revision) {
            reportViolation("a configuration was not applied in time",
                            "router " + std::to_string(router.vm()) + " has "
                                + std::to_string(router.configuration()) + " of "
                                + std::to_string(revision));
        }
    }
}

void Checks::checkEndpoint(const SimulatedRouter &router, const std::string &id,
                           const SimulatedStore::Newest &newest)
{
    const auto expected = newest.value ? readEndpoint(id, *newest.value) : std::nullopt;
    const Fleet::Endpoint *known = router.directory().find(Base::EndpointId(id));
    // A router that knows a newer start ignores a late write of an older one, even if the newer
    // start never writes again.
    const std::size_t number = SimulatedEndpoints::numberOf(Base::EndpointId(id));
    if (expected && known
        && m_world.endpoints().isBefore(number, *expected->startedAt, *known->startedAt))
        return;
    const bool isReady = known && known->state == Fleet::EndpointState::Ready;
    const bool mayBeReady = expected && expected->state == Fleet::EndpointState::Ready;
    const std::string detail = id + " at router " + std::to_string(router.vm()) + ": known as "
        + describe(known) + ", the store has " + describe(expected ? &*expected : nullptr);
    if (isReady && !mayBeReady)
        reportViolation("an endpoint that left is known as ready", detail);
    else if (expected.has_value() != (known != nullptr))
        reportViolation("an added or removed endpoint was not propagated in time", detail);
    else if (known && !(*known == *expected))
        reportViolation("a changed endpoint was not propagated in time", detail);
}

/// Verifies that all routers have the same, current state, and that it matches the store.
void Checks::checkSettled()
{
    std::optional<std::uint64_t> hash;
    for (const auto &router : m_world.routers()) {
        checkRouter(*router, propagationBound, recoveryBound);
        const std::string name = "router " + std::to_string(router->vm());
        if (router->directory().hash() != hash.value_or(router->directory().hash()))
            reportViolation("settled routers have different states", name);
        hash = router->directory().hash();
        const auto age = router->sync().stateAge();
        if (!age || *age > maxStateAge) {
            reportViolation(
                "a settled router has an outdated state",
                name + ": " + std::to_string(Base::toMilliseconds(age.value_or(Duration::max())))
                    + " ms");
        }
    }
    checkLeaders();
    checkSteadyState();
}

void Checks::checkLeaders()
{
    std::map<std::string, int> leaders;
    int readers = 0;
    for (const auto &router : m_world.routers()) {
        leaders[router->dataCentre()] += router->isLeader() ? 1 : 0;
        readers += router->isReading() ? 1 : 0;
    }
    for (const auto &[dataCentre, count] : leaders)
        checkUnique("a settled data centre does not have exactly one leader", dataCentre, count);
    checkUnique("the settled fleet does not have exactly one store reader", "the fleet", readers);
}

void Checks::checkUnique(const char *rule, const std::string &where, int count)
{
    const Duration since = m_lastUniqueAt.try_emplace(where, m_world.elapsed()).first->second;
    if (count == 1)
        m_lastUniqueAt[where] = m_world.elapsed();
    else if (m_world.elapsed() - since > takeoverTime)
        reportViolation(rule, where + " has " + std::to_string(count));
}

void Checks::checkSteadyState()
{
    const auto &routers = m_world.routers();
    if (m_baselineBytes.empty()) {
        for (const auto &router : routers) {
            m_baselineBytes.push_back(router->sentBytes());
            m_baselinePulls.push_back(router->pulls());
        }
    }
    const Base::Duration observed = m_world.elapsed() - m_quietSince - agreementBound;
    const auto seconds = static_cast<std::uint64_t>(1 + Base::toSeconds(observed));
    for (std::size_t i = 0; i < routers.size(); ++i) {
        if (routers[i]->pulls() != m_baselinePulls[i])
            reportViolation("a settled router pulls", "router " + std::to_string(i));
        const std::uint64_t bytes = routers[i]->sentBytes() - m_baselineBytes[i];
        if (bytes > maxBytesPerSecond * seconds)
            reportViolation("a settled router exceeds the traffic limit",
                            std::to_string(bytes) + " bytes");
    }
}

} // namespace Simulation
