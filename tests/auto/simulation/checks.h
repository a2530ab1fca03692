#pragma once

#include "auto/simulation/world.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Simulation {

/// A violation of one of the rules that Checks verifies.
struct Violation
{
    std::string rule; ///< Identical for all violations of one kind.
    std::string detail;
    std::int64_t atMs = 0;
};

/// Verifies a running world: safety rules, which hold at all times, and liveness rules, which must
/// hold within a time bound.
class Checks
{
public:
    Checks(World &world, const History &history);

    /// Evaluates the rules that depend on the current state. To be called periodically; returns
    /// false once a rule has been broken.
    bool check();
    const std::optional<Violation> &violation() const { return m_violation; }
    /// The time since the start of the history at which the checks are complete.
    Lagoonbank::Base::Duration end() const;
    /// Hash of all router events; identical for each run of the same history.
    std::uint64_t fingerprint() const { return m_fingerprint; }
    /// Hashes of the fleet states that occurred: for each router whether it is up, its role, its
    /// configuration and its known endpoints.
    const std::set<std::uint64_t> &states() const { return m_states; }

    /// Called with one line of text for each router event.
    std::function<void(const std::string &line)> trace;

private:
    using Duration = Lagoonbank::Base::Duration;

    void watchEvents();
    std::uint64_t stateHash() const;
    void addToFingerprint(VmIndex vm, std::uint64_t value);
    void writeTrace(VmIndex vm, const std::string &event) const;
    void reportViolation(const std::string &rule, const std::string &detail);
    void checkRemoval(VmIndex vm, const Lagoonbank::Fleet::Endpoint &endpoint);
    void checkChange(VmIndex vm, const Lagoonbank::Fleet::Endpoint &endpoint);
    /// Verifies that the router has all records that were written longer ago than the bounds.
    void checkRouter(const SimulatedRouter &router, Duration maxDelay,
                     Duration maxDelayAfterOutage);
    bool isDue(Lagoonbank::Base::MonoTime writtenAt, Duration maxDelay,
               Duration maxDelayAfterOutage) const;
    bool isStable(const SimulatedRouter &router) const;
    void checkEndpoint(const SimulatedRouter &router, const std::string &id,
                       const SimulatedStore::Newest &newest);
    void checkSettled();
    void checkLeaders();
    void checkUnique(const char *rule, const std::string &where, int count);
    void checkSteadyState();

    World &m_world;
    /// Time since the start of the simulation at which all steps of the history have ended, and the
    /// expiries, drains and writes that follow from them as well.
    Duration m_quietSince;
    std::optional<Violation> m_violation;
    std::uint64_t m_fingerprint = 0;
    std::set<std::uint64_t> m_states;
    /// The newest start time that each router has known of an endpoint; erased when the router
    /// removes the endpoint.
    std::map<std::pair<VmIndex, std::string>, Lagoonbank::Base::WallTime> m_latestStarts;
    /// Starts that a router has known to be draining or gone.
    std::set<std::tuple<VmIndex, std::string, Lagoonbank::Base::WallTime>> m_leftStarts;
    /// When each data centre last had exactly one leader, and the fleet exactly one store reader.
    std::map<std::string, Duration> m_lastUniqueAt;
    // Sent bytes and pulls of each VM at the time when the fleet had settled.
    std::vector<std::uint64_t> m_baselineBytes;
    std::vector<std::uint64_t> m_baselinePulls;
};

} // namespace Simulation
