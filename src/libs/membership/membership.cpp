#include "membership/membership.h"

#include <arpa/inet.h>

#include <algorithm>
#include <bit>
#include <set>
#include <utility>

namespace Lagoonbank::Membership {

namespace {

constexpr std::size_t indirectProbeCount = 3;
constexpr std::size_t urgentFanout = 3;
constexpr std::size_t leaveFanout = 6;
constexpr std::uint32_t maxAwareness = 4;
constexpr Base::Duration housekeepingPeriod = std::chrono::seconds(1);
/// Minimum budget for a gossip datagram; smaller ones would consist mostly of headers.
constexpr std::size_t minGossipBytes = 300;

} // namespace

Runtime::SocketAddress toSocketAddress(const MemberUpdate &update)
{
    std::string ip;
    for (int shift = 24; shift >= 0; shift -= 8)
        ip += std::to_string((update.ip >> shift) & 0xff) + (shift > 0 ? "." : "");
    return {.ip = ip, .port = static_cast<std::uint16_t>(update.port)};
}

std::uint32_t ipNumber(const std::string &ip)
{
    in_addr address{};
    if (inet_pton(AF_INET, ip.c_str(), &address) != 1)
        return 0;
    return ntohl(address.s_addr);
}

std::string_view toString(MemberEvent event)
{
    switch (event) {
    case MemberEvent::Joined:
        return "joined";
    case MemberEvent::Restarted:
        return "restarted";
    case MemberEvent::Suspected:
        return "suspected";
    case MemberEvent::Restored:
        return "restored";
    case MemberEvent::Died:
        return "died";
    case MemberEvent::Left:
        break;
    }
    return "left";
}

Membership::Membership(Options options, Base::MonoTime now)
    : m_options(std::move(options))
    , m_self(m_options.self)
    , m_links(m_options.timing.linkTimeout)
    , m_random(m_options.randomSeed)
    , m_joinCandidates(m_options.seeds)
    , m_lastAdvancedAt(now)
    , m_nextJoinAt(now)
    , m_nextHousekeepingAt(now + housekeepingPeriod)
    , m_tableChangedAt(now)
{
    m_self.status = MemberStatus::Alive;
    m_table.merge(m_self, now);
    m_memberUpdates.add(m_self.id);
    // Random offsets keep members that start together from probing in step.
    const auto jitter = [this](Base::Duration period) {
        return Base::Duration(
            static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(period.count())));
    };
    m_nextProbeAt = now + jitter(m_options.timing.probePeriod);
    m_nextCrossProbeAt = now + jitter(m_options.timing.crossProbePeriod);
    m_nextGossipAt = now + jitter(m_options.timing.gossipPeriod);
}

void Membership::advance(Base::MonoTime now)
{
    detectPause(now);
    if (m_urgentGossipAt && now >= *m_urgentGossipAt)
        gossipUrgently(now);
    if (m_isLeaving)
        return;
    checkProbes(now);
    confirmSuspects(now);
    const Timing &timing = m_options.timing;
    if (now >= m_nextProbeAt) {
        m_nextProbeAt = now + scaledByAwareness(timing.probePeriod);
        probeOwnDataCentre(now);
    }
    if (now >= m_nextCrossProbeAt) {
        m_nextCrossProbeAt = now + timing.crossProbePeriod;
        probeOtherDataCentres(now);
    }
    if (now >= m_nextJoinAt) {
        m_nextJoinAt =
            now + (m_table.aliveCount() > 1 ? timing.joinPeriod : timing.isolatedJoinPeriod);
        join(now);
    }
    if (now >= m_nextGossipAt) {
        m_nextGossipAt = now + timing.gossipPeriod;
        gossip(now);
    }
    if (now >= m_nextHousekeepingAt) {
        m_nextHousekeepingAt = now + housekeepingPeriod;
        doHousekeeping(now);
    }
}

Base::MonoTime Membership::nextDue() const
{
    Base::MonoTime due = std::min(
        {m_nextProbeAt, m_nextCrossProbeAt, m_nextJoinAt, m_nextGossipAt, m_nextHousekeepingAt});
    if (m_urgentGossipAt)
        due = std::min(due, *m_urgentGossipAt);
    for (const auto &[number, probe] : m_probes)
        due = std::min(due, probe.isIndirectProbeSent ? probe.deadline : probe.indirectProbeAt);
    return due;
}

void Membership::detectPause(Base::MonoTime now)
{
    const Base::Duration gap = now - m_lastAdvancedAt;
    m_lastAdvancedAt = now;
    if (gap <= m_options.timing.maxAdvanceGap)
        return;
    m_probes.clear();
    m_links.shift(gap);
    for (const auto &[id, member] : m_table.members())
        m_table.find(id)->suspectUntil += gap;
}

void Membership::probeOwnDataCentre(Base::MonoTime now)
{
    const auto isTarget = [this](const Member &member) {
        return isOwnDataCentre(member) && member.isAlive();
    };
    // Every member is probed once, in random order, before a new random order is drawn.
    for (int round = 0; round < 2; ++round) {
        while (!m_probeOrder.empty()) {
            const Member *member = m_table.find(m_probeOrder.back());
            m_probeOrder.pop_back();
            if (member && member->info.id != m_self.id && isTarget(*member)) {
                startProbe(*member, false, now);
                return;
            }
        }
        for (const Member *member : peersWhere(isTarget))
            m_probeOrder.push_back(member->info.id);
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
}

void Membership::startProbe(const Member &member, bool isCross, Base::MonoTime now)
{
    const std::uint32_t number = ++m_probeNumber;
    m_probes[number] = {.target = member.info.id,
                        .indirectProbeAt = now + scaledByAwareness(m_options.timing.ackTimeout),
                        .deadline = now + scaledByAwareness(m_options.timing.probeTimeout),
                        .isCross = isCross};
    PeerMessage ping{.type = MessageType::Ping, .probe = number, .target = member.info.id};
    send(toSocketAddress(member.info), &member, std::move(ping), ControlPriority::Essential, now);
}

void Membership::join(Base::MonoTime now)
{
    for (std::size_t i = 0; i < m_joinCandidates.size(); ++i) {
        const Runtime::SocketAddress address =
            m_joinCandidates[m_joinCursor++ % m_joinCandidates.size()];
        const std::uint32_t ip = ipNumber(address.ip);
        const bool isSelf = ip == m_self.ip && address.port == m_self.port;
        if (isSelf || m_table.findAlive(ip, address.port))
            continue;
        PeerMessage ping{.type = MessageType::Ping, .probe = ++m_probeNumber};
        send(address, nullptr, std::move(ping), ControlPriority::Essential, now);
        return;
    }
}

void Membership::checkProbes(Base::MonoTime now)
{
    std::vector<Probe> failed;
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        Probe &probe = it->second;
        if (!probe.isIndirectProbeSent && now >= probe.indirectProbeAt) {
            probe.isIndirectProbeSent = true;
            probeIndirectly(it->first, probe, now);
        }
        if (now < probe.deadline) {
            ++it;
            continue;
        }
        failed.push_back(probe);
        it = m_probes.erase(it);
    }
    for (const Probe &probe : failed)
        probeFailed(probe, now);
    std::erase_if(m_relays, [&](const auto &item) { return now > item.second.expiresAt; });
}

void Membership::probeIndirectly(std::uint32_t number, const Probe &probe, Base::MonoTime now)
{
    if (probe.isCross)
        return;
    std::vector<const Member *> helpers = peersWhere([&](const Member &member) {
        return member.info.status == MemberStatus::Alive && isOwnDataCentre(member)
            && member.info.id != probe.target;
    });
    if (helpers.empty()) {
        helpers = peersWhere([&](const Member &member) {
            return member.info.status == MemberStatus::Alive && isReachable(member, now);
        });
    }
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min(helpers.size(), indirectProbeCount));
    for (const Member *helper : helpers) {
        PeerMessage request{
            .type = MessageType::PingRequest, .probe = number, .target = probe.target};
        send(toSocketAddress(helper->info), helper, std::move(request), ControlPriority::Essential,
             now);
    }
}

void Membership::probeFailed(const Probe &probe, Base::MonoTime now)
{
    const Member *member = m_table.find(probe.target);
    if (!member)
        return;
    if (probe.isCross) {
        // The data centre is probed again in the next period, before it counts as unreachable.
        m_crossProbedAt.erase(member->info.dataCentre);
        return;
    }
    m_awareness = std::min(m_awareness + 1, maxAwareness);
    if (member->info.status != MemberStatus::Alive)
        return;
    MemberUpdate suspected = member->info;
    suspected.status = MemberStatus::Suspect;
    apply(suspected, now);
    // The suspect itself is informed at once, so that it can refute the suspicion.
    member = m_table.find(probe.target);
    PeerMessage message{.type = MessageType::Gossip};
    send(toSocketAddress(member->info), member, std::move(message), ControlPriority::Membership,
         now);
}

void Membership::confirmSuspects(Base::MonoTime now)
{
    if (m_table.suspectCount() == 0)
        return;
    const std::vector<const Member *> expired = peersWhere([&](const Member &member) {
        return member.info.status == MemberStatus::Suspect && isOwnDataCentre(member)
            && now >= member.suspectUntil;
    });
    for (const Member *member : expired) {
        MemberUpdate dead = member->info;
        dead.status = MemberStatus::Dead;
        apply(dead, now);
    }
}

void Membership::gossip(Base::MonoTime now)
{
    const bool hasUpdates = !m_memberUpdates.isEmpty() || !m_leavingUpdates.isEmpty();
    const bool hasLoads = m_loads.hasDue(now);
    if (!hasUpdates && !hasLoads && !m_demands.hasDue())
        return;
    ControlPriority priority = ControlPriority::Demand;
    if (hasLoads)
        priority = ControlPriority::Load;
    if (hasUpdates)
        priority = ControlPriority::Membership;
    if (m_options.budget->available(priority, now) < minGossipBytes)
        return;
    const std::vector<const Member *> peers = peersWhere([&](const Member &member) {
        return member.info.status == MemberStatus::Alive && isOwnRegion(member)
            && isReachable(member, now) && (hasUpdates || member.info.role == MemberRole::Router);
    });
    const Member *peer = randomOf(peers);
    if (!peer)
        return;
    send(toSocketAddress(peer->info), peer, {.type = MessageType::Gossip}, priority, now);
}

void Membership::gossipUrgently(Base::MonoTime now)
{
    m_urgentGossipAt.reset();
    const std::vector<const Member *> all = peersWhere([&](const Member &member) {
        return member.info.status == MemberStatus::Alive && isReachable(member, now);
    });
    std::vector<const Member *> near;
    std::vector<const Member *> far;
    for (const Member *member : all)
        (isOwnDataCentre(*member) ? near : far).push_back(member);
    std::shuffle(near.begin(), near.end(), m_random);
    std::shuffle(far.begin(), far.end(), m_random);
    const std::size_t count = m_isLeaving ? leaveFanout : urgentFanout;
    const std::size_t nearCount =
        std::min(near.size(), far.empty() ? count : count - count / urgentFanout);
    std::vector<const Member *> peers(near.begin(),
                                      near.begin() + static_cast<std::ptrdiff_t>(nearCount));
    for (const Member *member : far) {
        if (peers.size() >= count)
            break;
        peers.push_back(member);
    }
    for (const Member *peer : peers)
        send(toSocketAddress(peer->info), peer, {.type = MessageType::Gossip},
             ControlPriority::Configuration, now);
}

void Membership::doHousekeeping(Base::MonoTime now)
{
    m_table.expire(now);
    m_leaving.expire(now);
    m_demands.expire(now);
    // Every member pings the suspects once a second. The ping carries the suspicion, so a suspect
    // that is alive refutes it even if some datagrams are lost.
    for (const Member *suspect : peersWhere([this](const Member &member) {
             return member.info.status == MemberStatus::Suspect && isOwnDataCentre(member);
         }))
        startProbe(*suspect, false, now);
    const std::vector<const Member *> unreachable = peersWhere([&](const Member &member) {
        return member.isAlive() && !isOwnDataCentre(member) && !member.isListed && !m_vmList.empty()
            && now - m_links.lastContact(member.info.dataCentre)
            > m_options.timing.unreachableMemberTimeout;
    });
    for (const Member *member : unreachable) {
        MemberUpdate dead = member->info;
        dead.status = MemberStatus::Dead;
        apply(dead, now);
    }
}

void Membership::setVmList(const std::vector<ListedVm> &vms)
{
    m_vmList = vms;
    m_joinCandidates = m_options.seeds;
    std::set<std::uint32_t> listed;
    for (const ListedVm &vm : vms) {
        listed.insert(ipNumber(vm.ip));
        for (const std::uint16_t port : m_options.listedPorts)
            m_joinCandidates.push_back({.ip = vm.ip, .port = port});
    }
    for (const auto &[id, member] : m_table.members())
        m_table.find(id)->isListed = listed.contains(member.info.ip);
}

void Membership::setAppliedConfiguration(const ConfigurationMark &applied, Base::MonoTime now)
{
    if (applied.offset < m_appliedConfiguration.offset)
        return;
    const bool isNew = applied != m_appliedConfiguration;
    m_appliedConfiguration = applied;
    if (isNew)
        scheduleUrgentGossip(now);
}

void Membership::announceLeaving(const Base::EndpointId &endpoint, Base::Incarnation incarnation,
                                 Base::MonoTime now)
{
    receiveLeaving({.endpoint = endpoint.value(), .incarnation = incarnation.value()}, now);
}

bool Membership::isLeaving(const Base::EndpointId &endpoint, Base::Incarnation incarnation) const
{
    return m_leaving.covers(endpoint, incarnation);
}

void Membership::setDemand(const Base::WorkspaceId &workspace, std::string bytes,
                           Base::MonoTime now)
{
    m_demands.set(nameKey(m_self.id), workspace, std::move(bytes), now);
}

void Membership::leave(Base::MonoTime now)
{
    m_isLeaving = true;
    m_self.status = MemberStatus::Left;
    m_table.merge(m_self, now);
    m_memberUpdates.add(m_self.id);
    gossipUrgently(now);
    scheduleUrgentGossip(now);
}

bool Membership::isReachable(const Member &member, Base::MonoTime now) const
{
    return isOwnDataCentre(member) || m_links.isReachable(member.info.dataCentre, now);
}

bool Membership::isReachable(const Base::DataCentreId &dataCentre, Base::MonoTime now) const
{
    return dataCentre.value() == m_self.dataCentre || m_links.isReachable(dataCentre.value(), now);
}

std::vector<MemberUpdate> Membership::usableMembers(Base::MonoTime now, bool withDamped) const
{
    std::vector<MemberUpdate> result;
    for (const auto &[id, member] : m_table.members()) {
        if (member.isAlive() && isReachable(member, now) && (withDamped || !member.isDamped))
            result.push_back(member.info);
    }
    return result;
}

std::size_t Membership::rankInDataCentre(Base::MonoTime now) const
{
    std::size_t rank = 0;
    for (const MemberUpdate &member : usableMembers(now)) {
        if (member.id < m_self.id && member.dataCentre == m_self.dataCentre
            && member.role == m_self.role)
            ++rank;
    }
    return rank;
}

std::vector<const Member *>
Membership::peersWhere(const std::function<bool(const Member &)> &is) const
{
    std::vector<const Member *> result;
    for (const auto &[id, member] : m_table.members()) {
        if (id != m_self.id && is(member))
            result.push_back(&member);
    }
    return result;
}

const Member *Membership::randomOf(const std::vector<const Member *> &members)
{
    return members.empty() ? nullptr : members[m_random() % members.size()];
}

bool Membership::isOwnDataCentre(const Member &member) const
{
    return member.info.dataCentre == m_self.dataCentre;
}

bool Membership::isOwnRegion(const Member &member) const
{
    return member.info.region == m_self.region;
}

std::uint32_t Membership::retransmitLimit() const
{
    return 3 * static_cast<std::uint32_t>(std::bit_width(m_table.aliveCount() + 1));
}

std::uint32_t Membership::ownHash() const
{
    return m_table.hash(m_self.dataCentre) ^ m_leaving.hash();
}

std::uint32_t Membership::fleetHash() const
{
    return m_table.fleetHash() ^ m_leaving.hash();
}

Base::Duration Membership::scaledByAwareness(Base::Duration duration) const
{
    return duration * (1 + m_awareness);
}

} // namespace Lagoonbank::Membership
