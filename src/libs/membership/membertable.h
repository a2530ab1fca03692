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

/// What is known of one process of the fleet.
struct Member
{
    MemberUpdate info;
    Base::MonoTime changedAt{}; ///< When the status or the incarnation last changed.
    Base::MonoTime suspectUntil{}; ///< When a suspect is confirmed dead.
    bool isListed = false; ///< Whether the VM list has its address.
    double penalty = 0; ///< Of its flaps, as of penaltyAt.
    Base::MonoTime penaltyAt{};
    bool isDamped = false; ///< Flaps too much; not to be relied on.

    bool isAlive() const
    {
        return info.status == MemberStatus::Alive || info.status == MemberStatus::Suspect;
    }
};

/// Members by id, merged so that the order in which updates come does not matter: the higher
/// incarnation wins, then the later status.
class MemberTable
{
public:
    struct Options
    {
        Base::Duration tombstoneTime = std::chrono::minutes(10); ///< How long the dead are kept.
        double flapPenalty = 1.0; ///< Added each time that a member dies.
        double dampingThreshold = 2.5; ///< Penalty from which a member is damped.
        double restoreThreshold = 0.8; ///< Penalty under which it no longer is.
        Base::Duration penaltyHalfLife = std::chrono::seconds(60);
    };
    enum class Merge : std::uint8_t { Ignored, Added, Changed };

    MemberTable();
    explicit MemberTable(const Options &options);

    /// Takes an update in; Ignored if nothing new was learnt.
    Merge merge(const MemberUpdate &update, Base::MonoTime now);
    const Member *find(const std::string &id) const;
    Member *find(const std::string &id);
    /// The living member at an address; null if there is none.
    const Member *findAlive(std::uint32_t ip, std::uint16_t port) const;
    /// In order of ids.
    const std::map<std::string, Member> &members() const { return m_members; }
    std::size_t aliveCount(const std::string &dataCentre) const;
    std::size_t aliveCount() const;
    std::size_t suspectCount() const;

    /// Drops old tombstones and lifts damping that has decayed.
    void age(Base::MonoTime now);
    void remove(const std::string &id);

    /// Over id and incarnation of the living; the same on members that know the same.
    std::uint32_t hash(const std::string &dataCentre) const;
    std::uint32_t fleetHash() const;
    /// Hashes of all data centres, for a pull.
    std::vector<TableHash> hashes() const;
    /// Members of the data centres whose hash differs from \a known.
    std::vector<MemberUpdate> differing(const std::vector<TableHash> &known) const;

private:
    void addFlapPenalty(Member &member, Base::MonoTime now);
    double decayedPenalty(const Member &member, Base::MonoTime now) const;
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
