#pragma once

#include "base/units.h"
#include "membership/peermessages.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Lagoonbank::Membership {

/// State of one process of the fleet.
struct Member
{
    MemberUpdate info;
    Base::MonoTime changedAt{}; ///< When the status or the incarnation last changed.
    Base::MonoTime suspectUntil{}; ///< When a suspect is declared dead unless it refutes.
    bool isListed = false; ///< Whether the platform's VM list contains its address.
    double penalty = 0; ///< Flap damping penalty at penaltyAt; decays exponentially.
    Base::MonoTime penaltyAt{};
    bool isDamped = false; ///< Not used for tasks because it died repeatedly in the recent past.

    bool isAlive() const
    {
        return info.status == MemberStatus::Alive || info.status == MemberStatus::Suspect;
    }
};

/// Members by id. Updates are merged independently of the order in which they arrive: the higher
/// incarnation wins, then the later status in the order of MemberStatus.
class MemberTable
{
public:
    struct Options
    {
        Base::Duration tombstoneTime =
            std::chrono::minutes(10); ///< How long dead members are kept.
        double flapPenalty = 1.0; ///< Added each time that a member dies.
        double dampingThreshold = 2.5; ///< Members with at least this penalty are damped.
        double restoreThreshold = 0.8; ///< Damping ends below this penalty.
        Base::Duration penaltyHalfLife = std::chrono::seconds(60);
    };
    enum class Merge : std::uint8_t { Ignored, Added, Changed };

    MemberTable();
    explicit MemberTable(const Options &options);

    /// Merges an update; Ignored if it is not newer than the stored state.
    Merge merge(const MemberUpdate &update, Base::MonoTime now);
    const Member *find(const std::string &id) const;
    Member *find(const std::string &id);
    /// The living member at an address; null if there is none.
    const Member *findAlive(std::uint32_t ip, std::uint16_t port) const;
    /// All members, sorted by id; dead ones too until their tombstones expire.
    const std::map<std::string, Member> &members() const { return m_members; }
    std::size_t aliveCount(const std::string &dataCentre) const;
    std::size_t aliveCount() const;
    std::size_t suspectCount() const;

    /// Drops expired tombstones and ends the damping of members whose penalty has decayed.
    void expire(Base::MonoTime now);
    void remove(const std::string &id);

    /// Hash over id and incarnation of the living members of \a dataCentre; equal on processes
    /// that have the same members.
    std::uint32_t hash(const std::string &dataCentre) const;
    /// Hash over id and incarnation of the living members of all data centres.
    std::uint32_t fleetHash() const;
    /// hash() of each data centre, to be sent with a pull request.
    std::vector<TableHash> hashes() const;
    /// Members of the data centres whose hash differs from the one in \a known, at most
    /// maxStateMembers.
    std::vector<MemberUpdate> differingMembers(const std::vector<TableHash> &known) const;

private:
    void addFlapPenalty(Member &member, Base::MonoTime now);
    double decayedPenalty(const Member &member, Base::MonoTime now) const;
    /// Recomputes the hashes and the counts of members if m_hashesAreStale.
    void rehash() const;

    Options m_options;
    std::map<std::string, Member> m_members;
    mutable bool m_hashesAreStale = true;
    mutable std::map<std::string, std::uint32_t> m_hashes;
    mutable std::uint32_t m_fleetHash = 0;
    mutable std::size_t m_aliveCount = 0;
    mutable std::size_t m_suspectCount = 0;
};

} // namespace Lagoonbank::Membership
