#include "admission/shareallocator.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace Lagoonbank::Admission {

using Base::DataCentreId;
using Base::MonoTime;
using Base::WorkspaceId;
using Internal::WorkspaceShares;

namespace {

std::uint64_t hashWith(std::uint64_t seed, const std::string &text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint32_t hashOf(const std::vector<ShareMember> &routers)
{
    std::uint64_t hash = 0;
    for (const ShareMember &member : routers)
        hash = hashWith(hash ^ member.incarnation.value(), member.router);
    return static_cast<std::uint32_t>(hash);
}

std::uint32_t hashOf(const std::vector<DataCentreId> &dataCentres)
{
    std::uint64_t hash = 0;
    for (const DataCentreId &dataCentre : dataCentres)
        hash = hashWith(hash, dataCentre.value());
    return static_cast<std::uint32_t>(hash);
}

template<typename T>
void sortUnique(std::vector<T> &items, const std::string &(*nameOf)(const T &))
{
    std::sort(items.begin(), items.end(),
              [&](const T &a, const T &b) { return nameOf(a).compare(nameOf(b)) < 0; });
    const auto sameName = [&](const T &a, const T &b) { return nameOf(a) == nameOf(b); };
    items.erase(std::unique(items.begin(), items.end(), sameName), items.end());
}

const std::string &nameOfMember(const ShareMember &member)
{
    return member.router;
}

const std::string &nameOfDataCentre(const DataCentreId &dataCentre)
{
    return dataCentre.value();
}

} // namespace

ShareAllocator::ShareAllocator(ShareOptions options)
    : m_options(std::move(options))
{
    setDataCentres({}, {});
    setRouters({}, {});
}

void ShareAllocator::setDataCentres(std::vector<DataCentreId> dataCentres, MonoTime now)
{
    dataCentres.push_back(m_options.dataCentre);
    sortUnique(dataCentres, nameOfDataCentre);
    m_dataCentres = std::move(dataCentres);
    const auto self =
        std::lower_bound(m_dataCentres.begin(), m_dataCentres.end(), m_options.dataCentre);
    m_topology.dataCentre = static_cast<std::uint16_t>(self - m_dataCentres.begin());
    m_topology.dataCentres = static_cast<std::uint16_t>(m_dataCentres.size());
    m_topology.dataCentresHash = hashOf(m_dataCentres);
    applyTopology(now);
}

void ShareAllocator::setRouters(std::vector<ShareMember> routers, MonoTime now)
{
    const auto isSelf = [this](const ShareMember &m) { return m.router == m_options.self; };
    if (std::none_of(routers.begin(), routers.end(), isSelf))
        routers.push_back({.router = m_options.self, .dataCentre = m_options.dataCentre});
    sortUnique(routers, nameOfMember);
    m_members = std::move(routers);
    m_routers.clear();
    std::copy_if(m_members.begin(), m_members.end(), std::back_inserter(m_routers),
                 [this](const ShareMember &m) { return m.dataCentre == m_options.dataCentre; });
    const auto self = std::find_if(m_routers.begin(), m_routers.end(), isSelf);
    m_topology.self = static_cast<std::uint16_t>(self - m_routers.begin());
    m_topology.routers = static_cast<std::uint16_t>(m_routers.size());
    m_topology.routersHash = hashOf(m_routers);
    applyTopology(now);
}

void ShareAllocator::applyTopology(MonoTime now)
{
    for (auto &[workspace, shares] : m_workspaces)
        shares.setTopology(m_topology, now);
}

void ShareAllocator::updateShares(const WorkspaceId &workspace, double demandedShare, MonoTime now)
{
    const double demand =
        std::max(0.0, demandedShare) * static_cast<double>(ShareLedger::totalUnits);
    sharesOf(workspace).updateShares(demand, ownRepresentative(workspace), now);
}

void ShareAllocator::receive(const WorkspaceId &workspace, std::string_view bytes, MonoTime now)
{
    const Errors::Result<ShareDigest> digest = decodeShareDigest(bytes);
    if (digest.has_value())
        sharesOf(workspace).receive(digest.value(), now);
}

std::vector<ShareAllocator::Outgoing> ShareAllocator::digests(MonoTime now, Base::Bytes maxBytes,
                                                              Base::Bytes datagramOverhead)
{
    if (m_pendingWorkspaces.empty()) {
        for (const auto &[workspace, shares] : m_workspaces)
            m_pendingWorkspaces.push_back(workspace);
    }
    std::vector<Outgoing> outgoing;
    std::uint64_t usedBytes = 0;
    while (!m_pendingWorkspaces.empty() && usedBytes < maxBytes.value()) {
        const WorkspaceId workspace = std::move(m_pendingWorkspaces.back());
        m_pendingWorkspaces.pop_back();
        const auto found = m_workspaces.find(workspace);
        if (found == m_workspaces.end())
            continue;
        const std::optional<ShareDigest> digest = found->second.digest(now);
        if (!digest)
            continue;
        outgoing.push_back(
            {workspace, encode(*digest), receivers(workspace, digest->representative)});
        const Outgoing &last = outgoing.back();
        usedBytes += (last.bytes.size() + datagramOverhead.value()) * last.receivers.size();
    }
    return outgoing;
}

std::vector<std::string> ShareAllocator::receivers(const WorkspaceId &workspace,
                                                   bool isRepresentative) const
{
    if (!isRepresentative)
        return {m_routers.at(ownRepresentative(workspace)).router};
    std::vector<std::string> names;
    for (const ShareMember &member : m_routers) {
        if (member.router != m_options.self)
            names.push_back(member.router);
    }
    for (const DataCentreId &dataCentre : m_dataCentres) {
        const ShareMember *other = representative(dataCentre, workspace);
        if (other && dataCentre != m_options.dataCentre)
            names.push_back(other->router);
    }
    return names;
}

double ShareAllocator::share(const WorkspaceId &workspace, MonoTime now) const
{
    const auto found = m_workspaces.find(workspace);
    if (found != m_workspaces.end())
        return found->second.share(now);
    const std::int64_t router = ShareLedger::initialUnits(m_topology.routers, m_topology.self);
    const std::int64_t dataCentre =
        ShareLedger::initialUnits(m_topology.dataCentres, m_topology.dataCentre);
    return static_cast<double>(router * dataCentre)
        / static_cast<double>(ShareLedger::totalUnits * ShareLedger::totalUnits);
}

// The representative is chosen per workspace by rendezvous hashing, which spreads the work over
// the routers of a data centre.
const ShareMember *ShareAllocator::representative(const DataCentreId &dataCentre,
                                                  const WorkspaceId &workspace) const
{
    const ShareMember *best = nullptr;
    std::uint64_t highest = 0;
    for (const ShareMember &member : m_members) {
        const std::uint64_t weight = hashWith(hashWith(0, member.router), workspace.value());
        if (member.dataCentre != dataCentre || (best && weight <= highest))
            continue;
        best = &member;
        highest = weight;
    }
    return best;
}

std::uint16_t ShareAllocator::ownRepresentative(const WorkspaceId &workspace) const
{
    const ShareMember *member = representative(m_options.dataCentre, workspace);
    const auto position = std::find(m_routers.begin(), m_routers.end(), *member);
    return static_cast<std::uint16_t>(position - m_routers.begin());
}

WorkspaceShares &ShareAllocator::sharesOf(const WorkspaceId &workspace)
{
    const Internal::ShareTiming timing{.propagationTime = m_options.propagationTime,
                                       .demandMaxAge = m_options.demandMaxAge,
                                       .dataCentreMaxAge = m_options.dataCentreMaxAge};
    return m_workspaces.try_emplace(workspace, m_topology, timing).first->second;
}

} // namespace Lagoonbank::Admission
