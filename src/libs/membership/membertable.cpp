#include "membership/membertable.h"

#include "membership/peercodec.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Membership {

namespace {

bool isNewer(const MemberUpdate &update, const MemberUpdate &known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.status > known.status;
}

bool isAlive(MemberStatus status)
{
    return status == MemberStatus::Alive || status == MemberStatus::Suspect;
}

std::uint32_t memberHash(const MemberUpdate &info)
{
    return nameKey(info.id + '@' + std::to_string(info.incarnation));
}

} // namespace

MemberTable::MemberTable()
    : MemberTable(Options())
{ }

MemberTable::MemberTable(const Options &options)
    : m_options(options)
{ }

MemberTable::Merge MemberTable::merge(const MemberUpdate &update, Base::MonoTime now)
{
    const auto found = m_members.find(update.id);
    if (found == m_members.end()) {
        m_members.emplace(update.id, Member{.info = update, .changedAt = now});
        m_hashesAreStale = true;
        return Merge::Added;
    }
    Member &member = found->second;
    if (!isNewer(update, member.info))
        return Merge::Ignored;
    if (update.status == MemberStatus::Dead && member.isAlive())
        addFlapPenalty(member, now);
    member.info = update;
    member.changedAt = now;
    m_hashesAreStale = true;
    return Merge::Changed;
}

const Member *MemberTable::find(const std::string &id) const
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

Member *MemberTable::find(const std::string &id)
{
    const auto found = m_members.find(id);
    return found == m_members.end() ? nullptr : &found->second;
}

const Member *MemberTable::findAlive(std::uint32_t ip, std::uint16_t port) const
{
    for (const auto &[id, member] : m_members) {
        if (member.isAlive() && member.info.ip == ip && member.info.port == port)
            return &member;
    }
    return nullptr;
}

std::size_t MemberTable::aliveCount(const std::string &dataCentre) const
{
    return static_cast<std::size_t>(
        std::count_if(m_members.begin(), m_members.end(), [&](const auto &entry) {
            return entry.second.isAlive() && entry.second.info.dataCentre == dataCentre;
        }));
}

std::size_t MemberTable::aliveCount() const
{
    rehash();
    return m_aliveCount;
}

std::size_t MemberTable::suspectCount() const
{
    rehash();
    return m_suspectCount;
}

void MemberTable::expire(Base::MonoTime now)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        Member &member = it->second;
        if (member.isDamped && decayedPenalty(member, now) < m_options.restoreThreshold)
            member.isDamped = false;
        if (!member.isAlive() && now - member.changedAt > m_options.tombstoneTime)
            it = m_members.erase(it);
        else
            ++it;
    }
}

void MemberTable::remove(const std::string &id)
{
    m_members.erase(id);
    m_hashesAreStale = true;
}

std::uint32_t MemberTable::hash(const std::string &dataCentre) const
{
    rehash();
    const auto found = m_hashes.find(dataCentre);
    return found == m_hashes.end() ? 0 : found->second;
}

std::uint32_t MemberTable::fleetHash() const
{
    rehash();
    return m_fleetHash;
}

std::vector<TableHash> MemberTable::hashes() const
{
    rehash();
    std::vector<TableHash> result;
    result.reserve(m_hashes.size());
    for (const auto &[dataCentre, hash] : m_hashes)
        result.push_back({.dataCentre = dataCentre, .hash = hash});
    return result;
}

std::vector<MemberUpdate> MemberTable::differingMembers(const std::vector<TableHash> &known) const
{
    std::map<std::string, std::uint32_t> theirs;
    for (const TableHash &table : known)
        theirs[table.dataCentre] = table.hash;
    std::vector<MemberUpdate> result;
    for (const auto &[id, member] : m_members) {
        const auto found = theirs.find(member.info.dataCentre);
        const bool isSame = found != theirs.end() && found->second == hash(member.info.dataCentre);
        if (!isSame && result.size() < maxStateMembers)
            result.push_back(member.info);
    }
    return result;
}

void MemberTable::addFlapPenalty(Member &member, Base::MonoTime now)
{
    member.penalty = decayedPenalty(member, now) + m_options.flapPenalty;
    member.penaltyAt = now;
    if (member.penalty >= m_options.dampingThreshold)
        member.isDamped = true;
}

double MemberTable::decayedPenalty(const Member &member, Base::MonoTime now) const
{
    const double halfLives =
        Base::toSeconds(now - member.penaltyAt) / Base::toSeconds(m_options.penaltyHalfLife);
    return member.penalty * std::exp2(-halfLives);
}

void MemberTable::rehash() const
{
    if (!m_hashesAreStale)
        return;
    m_hashes.clear();
    m_fleetHash = 0;
    m_aliveCount = 0;
    m_suspectCount = 0;
    for (const auto &[id, member] : m_members) {
        if (!isAlive(member.info.status))
            continue;
        const std::uint32_t hash = memberHash(member.info);
        m_hashes[member.info.dataCentre] ^= hash;
        m_fleetHash ^= hash;
        ++m_aliveCount;
        m_suspectCount += member.info.status == MemberStatus::Suspect ? 1 : 0;
    }
    m_hashesAreStale = false;
}

} // namespace Lagoonbank::Membership
