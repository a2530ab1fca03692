#pragma once

#include "auto/simulation/world.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Simulation {

/// A rule that a history broke.
struct Violation
{
    std::string rule; ///< The same for all violations of one kind.
    std::string detail;
    std::int64_t atMs = 0;
};

/// Watches a world: what may never happen, and what has to have happened in time.
class Checks
{
public:
    Checks(World &world, const History &history);

    /// To be called now and then; false when a rule is broken.
    bool check();
    const std::optional<Violation> &violation() const { return m_violation; }
    /// When a history has been watched for long enough.
    Lagoonbank::Base::Duration end() const;
    /// Of all that routers have done; the same each time that a history is played.
    std::uint64_t fingerprint() const { return m_fingerprint; }
    /// Hashes of the states of the fleet that were seen: who is up and reads, and what each knows.
    const std::set<std::uint64_t> &states() const { return m_states; }

    /// Told what routers do, a line each.
    std::function<void(const std::string &line)> trace;

private:
    using Duration = Lagoonbank::Base::Duration;

    void watchEvents();
    std::uint64_t state() const;
    void addToFingerprint(VmIndex at, std::uint64_t what);
    void writeTrace(VmIndex at, const std::string &what) const;
    void reportViolation(const std::string &rule, const std::string &detail);
    void removed(VmIndex at, const Lagoonbank::Fleet::Endpoint &endpoint);
    void changed(VmIndex at, const Lagoonbank::Fleet::Endpoint &endpoint);
    /// A router in touch knows what was written so long ago.
    void checkRouter(const SimulatedRouter &router, Duration bound, Duration unstableBound);
    bool isDue(Lagoonbank::Base::MonoTime writtenAt, Duration bound, Duration unstableBound) const;
    bool isStable(const SimulatedRouter &router) const;
    void checkEndpoint(const SimulatedRouter &router, const std::string &id,
                       const SimulatedStore::Newest &newest);
    void checkSettled();
    void checkLeaders();
    void checkUnique(const char *rule, const std::string &where, int count);
    void checkSteadyState();

    World &m_world;
    Duration m_quietSince; ///< From here on nothing happens to anybody.
    std::optional<Violation> m_violation;
    std::uint64_t m_fingerprint = 0;
    std::set<std::uint64_t> m_states;
    /// Newest start that a router knew of an endpoint, until that was removed.
    std::map<std::pair<VmIndex, std::string>, Lagoonbank::Base::WallTime> m_starts;
    std::map<std::string, Duration>
        m_lastUniqueAt; ///< Leaders of each data centre, readers of all.
    std::vector<std::uint64_t> m_baselineBytes; ///< Of each place, when the quiet was settled.
    std::vector<std::uint64_t> m_baselinePulls;
};

} // namespace Simulation
