#include "auto/simulation/checks.h"

#include "auto/simulation/simulatedconfiguration.h"

#include <algorithm>
#include <functional>

namespace Simulation {

using namespace Lagoonbank;
using std::chrono::milliseconds;

namespace {

/// In which a machine in touch has to have what the store acknowledged.
constexpr Base::Duration bound = milliseconds(2000);
/// Without trouble for so long, a machine or the store counts as calm.
constexpr Base::Duration stableTime = milliseconds(3000);
/// A router that the store did not answer notices its return after 0.7 s of a silent call and 0.8 s
/// of backing off, and waits from then on for entries to come back; 0.8 s more than it should.
constexpr Base::Duration noticeTime = milliseconds(800);
/// After the store's return: noticed after 0.7 s of a silent call and 0.8 s of backing off, waited
/// for 2.2 s, told by the next beacons.
constexpr Base::Duration returnBound = milliseconds(5000);
/// A start whose clock was set back is believed when it writes again, after 1.2 s; another router
/// may have to hear of that, or to read it itself.
constexpr Base::Duration repeatTime = milliseconds(3000);
/// After the last step endpoints still lapse (3.6 s), end a drain or come back (1.9 s).
constexpr Base::Duration lapseTime = milliseconds(4000);
/// From then on all routers agree within this: the bound after a return, and a takeover.
constexpr Base::Duration agreeBound = milliseconds(6000);
/// A lost beacon may bring a second reader, which ends when it has heard of the first again.
constexpr Base::Duration takeoverTime = milliseconds(1200);
/// For which the calm fleet is watched.
constexpr Base::Duration quietTime = milliseconds(3000);
/// Of a router's control traffic.
constexpr std::uint64_t bytesPerSecond = 5000;
/// A reader reads each 0.7 s, its beacons follow within 0.5 s.
constexpr Base::Duration oldestKnowledge = milliseconds(2000);

std::string describe(const Fleet::Endpoint *endpoint)
{
    return endpoint ? toText(*endpoint) : std::string("nothing");
}

} // namespace

Checks::Checks(World &world, const History &history)
    : m_world(world)
    , m_quietSince(milliseconds(endOfStepsMs(history)) + lapseTime)
{
    watchEvents();
}

Base::Duration Checks::end() const
{
    return m_quietSince + agreeBound + quietTime;
}

void Checks::watchEvents()
{
    m_world.events.started = [this](VmIndex at) {
        addToFingerprint(at, 0);
        writeTrace(at, "starts");
        std::erase_if(m_starts, [at](const auto &one) { return one.first.first == at; });
    };
    m_world.events.configured = [this](VmIndex at, std::uint64_t before, std::uint64_t after) {
        addToFingerprint(at, after);
        writeTrace(at, "configuration " + std::to_string(after));
        if (after <= before)
            reportViolation("a configuration goes back", std::to_string(after));
    };
    m_world.events.changed = [this](VmIndex at, const Fleet::Endpoint &endpoint) {
        changed(at, endpoint);
    };
    m_world.events.removed = [this](VmIndex at, const Fleet::Endpoint &endpoint) {
        removed(at, endpoint);
    };
    m_world.events.roleChanged = [this](VmIndex at, bool reads) {
        writeTrace(at, reads ? "reads" : "leaves reading to a peer");
    };
    m_world.events.pulled = [this](VmIndex at, VmIndex from, std::size_t inFlight) {
        addToFingerprint(at, inFlight);
        writeTrace(at, "pulls from router " + std::to_string(from));
        if (inFlight > 1)
            reportViolation("two pulls at a time", "router " + std::to_string(at));
    };
}

void Checks::addToFingerprint(VmIndex at, std::uint64_t what)
{
    const auto time = static_cast<std::uint64_t>(m_world.elapsed().count());
    m_fingerprint += RandomSource(time * 31 + at * 7 + what).next();
}

void Checks::writeTrace(VmIndex at, const std::string &what) const
{
    if (trace)
        trace(std::to_string(Base::toMilliseconds(m_world.elapsed())) + " ms, router "
              + std::to_string(at) + ": " + what);
}

void Checks::reportViolation(const std::string &rule, const std::string &detail)
{
    if (!m_violation)
        m_violation = {rule, detail, Base::toMilliseconds(m_world.elapsed())};
}

void Checks::changed(VmIndex at, const Fleet::Endpoint &endpoint)
{
    addToFingerprint(at, SimulatedEndpoints::numberOf(endpoint.id));
    writeTrace(at, endpoint.id.value() + " is " + toText(endpoint));
    if (!endpoint.startedAt)
        return;
    auto &newest =
        m_starts.try_emplace({at, endpoint.id.value()}, *endpoint.startedAt).first->second;
    const std::size_t number = SimulatedEndpoints::numberOf(endpoint.id);
    // Where a clock was set back, a late write of the start before looks like a new start.
    if (!m_world.endpoints().isClockSetBack(number)
        && m_world.endpoints().isBefore(number, *endpoint.startedAt, newest)) {
        reportViolation("an older start replaces a newer one",
                        endpoint.id.value() + " at router " + std::to_string(at));
    }
    newest = *endpoint.startedAt;
}

void Checks::removed(VmIndex at, const Fleet::Endpoint &endpoint)
{
    const std::size_t number = SimulatedEndpoints::numberOf(endpoint.id);
    addToFingerprint(at, number);
    writeTrace(at, endpoint.id.value() + " has gone");
    m_starts.erase({at, endpoint.id.value()});
    if (m_world.endpoints().isExpiredByOutage(number)) {
        reportViolation("an endpoint is given up whose entry lapsed while the store was away",
                        endpoint.id.value() + " by router " + std::to_string(at));
    }
}

std::uint64_t Checks::state() const
{
    std::string text;
    for (const auto &router : m_world.routers()) {
        text += '\n';
        if (!router->isUp())
            continue;
        text += std::string(router->isReading()      ? "reads "
                                : router->isLeader() ? "leads "
                                                     : "hears ")
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
    m_states.insert(state());
    for (const auto &router : m_world.routers()) {
        if (isStable(*router))
            checkRouter(*router, bound, returnBound);
    }
    const Base::Duration settledAt = m_quietSince + agreeBound;
    if (m_world.elapsed() >= settledAt)
        checkSettled();
    return !m_violation;
}

bool Checks::isStable(const SimulatedRouter &router) const
{
    const auto calm = m_world.faultFreeSince(router.vm());
    const auto store = m_world.storeFaultFreeSince();
    return router.isUp() && calm && store && m_world.now() - *calm >= stableTime + noticeTime
        && m_world.now() - *store >= stableTime;
}

bool Checks::isDue(Base::MonoTime writtenAt, Duration bound, Duration unstableBound) const
{
    const Base::MonoTime stableFrom = *m_world.storeFaultFreeSince() + stableTime;
    if (writtenAt >= stableFrom)
        return m_world.now() - writtenAt > bound;
    return m_world.now() - std::max(writtenAt, *m_world.storeFaultFreeSince()) > unstableBound;
}

void Checks::checkRouter(const SimulatedRouter &router, Duration bound, Duration unstableBound)
{
    for (const auto &[id, newest] : m_world.store().keys(Topic::Endpoints)) {
        const std::size_t number = SimulatedEndpoints::numberOf(Base::EndpointId(id));
        const Duration more =
            m_world.endpoints().isClockSetBack(number) ? repeatTime : Duration::zero();
        if (isDue(newest.writtenAt, bound + more, unstableBound + more))
            checkEndpoint(router, id, newest);
    }
    for (const auto &[key, newest] : m_world.store().keys(Topic::Configuration)) {
        const std::uint64_t revision = readConfiguration(*newest.value).revision;
        if (isDue(newest.writtenAt, bound, unstableBound) && router.configuration() < revision) {
            reportViolation("a configuration is not in force in time",
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
    // Nobody who knows a newer start believes a late write, even if that start does not write
    // again.
    const std::size_t number = SimulatedEndpoints::numberOf(Base::EndpointId(id));
    if (expected && known
        && m_world.endpoints().isBefore(number, *expected->startedAt, *known->startedAt))
        return;
    const bool isReady = known && known->state == Fleet::EndpointState::Ready;
    const bool mayBeReady = expected && expected->state == Fleet::EndpointState::Ready;
    const std::string detail = id + " at router " + std::to_string(router.vm()) + ": knows "
        + describe(known) + ", the store has " + describe(expected ? &*expected : nullptr);
    if (isReady && !mayBeReady)
        reportViolation("an endpoint that left is thought ready", detail);
    else if (expected.has_value() != (known != nullptr))
        reportViolation("an endpoint is not known in time", detail);
    else if (known && !(*known == *expected))
        reportViolation("an endpoint is known as it was before", detail);
}

/// All routers know the same, that is what the store holds, and know it as of now.
void Checks::checkSettled()
{
    std::optional<std::uint64_t> hash;
    for (const auto &router : m_world.routers()) {
        checkRouter(*router, bound, returnBound);
        const std::string name = "router " + std::to_string(router->vm());
        if (router->directory().hash() != hash.value_or(router->directory().hash()))
            reportViolation("routers disagree for good", name);
        hash = router->directory().hash();
        const auto age = router->sync().stateAge();
        if (!age || *age > oldestKnowledge) {
            reportViolation(
                "a router's knowledge stays old",
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
        checkUnique("a calm data centre has not one leader", dataCentre, count);
    checkUnique("a calm fleet has not one reader", "the fleet", readers);
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
    const Base::Duration watched = m_world.elapsed() - m_quietSince - agreeBound;
    const auto seconds = static_cast<std::uint64_t>(1 + Base::toSeconds(watched));
    for (std::size_t i = 0; i < routers.size(); ++i) {
        if (routers[i]->pulls() != m_baselinePulls[i])
            reportViolation("a calm router pulls", "router " + std::to_string(i));
        const std::uint64_t bytes = routers[i]->sentBytes() - m_baselineBytes[i];
        if (bytes > bytesPerSecond * seconds)
            reportViolation("a calm router sends too much", std::to_string(bytes) + " bytes");
    }
}

} // namespace Simulation
