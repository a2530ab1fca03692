/// \file Membership: processing of received messages and filling of sent ones.

#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Membership {

namespace {

/// Size up to which sections are filled. Reserves one more byte for the entry count of each of the
/// five sections, which needs two bytes if a section has many entries.
constexpr std::size_t maxFilledBytes = maxDatagramBytes + datagramOverheadBytes - 5;
constexpr std::size_t maxRelayedProbes = 256;
constexpr std::size_t maxKnownMembers = 4096;
/// Minimum time between repeated requests for the same configuration offset.
constexpr Base::Duration offsetRequestPeriod = std::chrono::milliseconds(500);

ControlTraffic trafficOf(MessageType type)
{
    switch (type) {
    case MessageType::Ping:
        return ControlTraffic::Ping;
    case MessageType::Ack:
        return ControlTraffic::Ack;
    case MessageType::PingRequest:
        return ControlTraffic::PingRequest;
    case MessageType::Outdated:
        return ControlTraffic::Outdated;
    case MessageType::Gossip:
        break;
    }
    return ControlTraffic::Gossip;
}

} // namespace

void Membership::receive(const Sender &sender, const Runtime::SocketAddress &from,
                         const PeerMessage &message, Base::MonoTime now)
{
    if (sender.id == m_self.id)
        return;
    // A leaving process merges the time too, as it still records events that messages cause.
    receiveTime(message.time);
    if (m_isLeaving)
        return;
    if (message.type == MessageType::Outdated) {
        if (message.knownIncarnation > m_self.incarnation)
            raiseIncarnation(message.knownIncarnation, now);
        return;
    }
    receiveSections(sender, message, now);
    switch (message.type) {
    case MessageType::Ping:
        receivePing(sender, from, message, now);
        break;
    case MessageType::Ack:
        receiveAck(sender, message, now);
        break;
    case MessageType::PingRequest:
        receivePingRequest(from, message, now);
        break;
    case MessageType::Gossip:
    case MessageType::Outdated:
        break;
    }
    compareState(sender, from, message, now);
}

void Membership::receiveTime(const MessageTime &time) const
{
    if (timeReceived && time.wallMs != 0)
        timeReceived(time);
}

void Membership::receiveOutdated(const Sender &sender, const Runtime::SocketAddress &from,
                                 std::uint64_t knownIncarnation, Base::MonoTime now)
{
    if (sender.incarnation >= knownIncarnation)
        return;
    send(from, nullptr, {.type = MessageType::Outdated, .knownIncarnation = knownIncarnation},
         ControlPriority::Membership, now);
}

void Membership::receivePing(const Sender &sender, const Runtime::SocketAddress &from,
                             const PeerMessage &message, Base::MonoTime now)
{
    if (!message.target.empty() && message.target != m_self.id)
        return;
    PeerMessage ack{.type = MessageType::Ack, .probe = message.probe, .target = m_self.id};
    send(from, m_table.find(sender.id), std::move(ack), ControlPriority::Essential, now);
}

void Membership::receiveAck(const Sender &sender, const PeerMessage &message, Base::MonoTime now)
{
    const auto relay = m_relays.find(message.probe);
    if (relay != m_relays.end()) {
        PeerMessage ack{
            .type = MessageType::Ack, .probe = relay->second.probe, .target = message.target};
        const Runtime::SocketAddress requester = relay->second.requester;
        m_relays.erase(relay);
        send(requester, nullptr, std::move(ack), ControlPriority::Essential, now);
        return;
    }
    if (const Member *member = m_table.find(sender.id); member && !isOwnDataCentre(*member))
        m_links.recordContact(member->info.dataCentre, now);
    const auto probe = m_probes.find(message.probe);
    if (probe == m_probes.end() || probe->second.target != message.target)
        return;
    m_probes.erase(probe);
    if (m_awareness > 0)
        --m_awareness;
}

void Membership::receivePingRequest(const Runtime::SocketAddress &from, const PeerMessage &message,
                                    Base::MonoTime now)
{
    const Member *target = m_table.find(message.target);
    if (!target || m_relays.size() >= maxRelayedProbes)
        return;
    const std::uint32_t number = ++m_probeNumber;
    m_relays[number] = {.requester = from,
                        .probe = message.probe,
                        .expiresAt = now + m_options.timing.probeTimeout};
    PeerMessage ping{.type = MessageType::Ping, .probe = number, .target = target->info.id};
    send(toSocketAddress(target->info), target, std::move(ping), ControlPriority::Essential, now);
}

void Membership::receiveSections(const Sender &sender, const PeerMessage &message,
                                 Base::MonoTime now)
{
    for (const LeavingEndpoint &leaving : message.leaving)
        receiveLeaving(leaving, now);
    for (const MemberUpdate &update : message.members)
        apply(update, now);
    const Member *member = m_table.find(sender.id);
    if (member && isOwnDataCentre(*member)) {
        for (const DataCentreContact &contact : message.contacts)
            m_links.receive(contact, now);
    }
    const std::uint32_t origin = nameKey(sender.id);
    for (const LoadReport &report : message.loads) {
        if (m_loads.receive(origin, report, now) && loadReceived)
            loadReceived(report, now - std::chrono::milliseconds(report.ageMs));
    }
    for (const DemandDigest &digest : message.demands) {
        if (m_demands.receive(digest, now) && demandReceived)
            demandReceived(digest);
    }
}

void Membership::compareState(const Sender &sender, const Runtime::SocketAddress &from,
                              const PeerMessage &message, Base::MonoTime now)
{
    const ConfigurationMark &applied = message.configuration;
    if (applied.offset > m_appliedConfiguration.offset && configurationAhead
        && (applied.offset > m_requestedOffset
            || now - m_offsetRequestedAt >= offsetRequestPeriod)) {
        m_requestedOffset = applied.offset;
        m_offsetRequestedAt = now;
        configurationAhead(from, applied);
    }
    if (applied.offset == m_appliedConfiguration.offset
        && applied.hash != m_appliedConfiguration.hash)
        ++m_configurationConflicts;

    const Member *member = m_table.find(sender.id);
    const bool isSame = member && isOwnDataCentre(*member) ? message.ownHash == ownHash()
                                                           : message.fleetHash == fleetHash();
    if (isSame || !statePullNeeded)
        return;
    const Timing &timing = m_options.timing;
    const bool isQuiet = now - m_tableChangedAt >= timing.quietTime;
    if (m_hasPulled && (!isQuiet || now - m_pulledAt < timing.pullPeriod))
        return;
    m_hasPulled = true;
    m_pulledAt = now;
    statePullNeeded(from, {.tables = m_table.hashes()});
}

StateAnswer Membership::answer(const StateRequest &request, Base::MonoTime now) const
{
    return {.members = m_table.differingMembers(request.tables), .leaving = m_leaving.entries(now)};
}

void Membership::mergeState(const StateAnswer &state, Base::MonoTime now)
{
    for (const LeavingEndpoint &leaving : state.leaving)
        receiveLeaving(leaving, now);
    for (const MemberUpdate &update : state.members)
        apply(update, now);
}

void Membership::receiveLeaving(const LeavingEndpoint &leaving, Base::MonoTime now)
{
    if (!m_leaving.merge(leaving, now))
        return;
    m_leavingUpdates.add(leaving.endpoint);
    m_tableChangedAt = now;
    scheduleUrgentGossip(now);
    if (endpointLeaving)
        endpointLeaving(Base::EndpointId(leaving.endpoint), Base::Incarnation(leaving.incarnation));
}

void Membership::send(const Runtime::SocketAddress &to, const Member *peer, PeerMessage message,
                      ControlPriority priority, Base::MonoTime now)
{
    message.time = stamp();
    message.ownHash = ownHash();
    message.fleetHash = fleetHash();
    message.configuration = m_appliedConfiguration;
    std::size_t size = encodedSize(message) + sealSize(m_self.id) + datagramOverheadBytes;
    fillUpdates(message, peer, size, now);
    if (peer && message.type != MessageType::Outdated)
        fillDigests(message, *peer, size, now);
    size = encodedSize(message) + sealSize(m_self.id) + datagramOverheadBytes;
    if (!m_options.budget->take(priority, trafficOf(message.type), size, now))
        return;
    if (messageReady)
        messageReady(to, message);
}

void Membership::fillUpdates(PeerMessage &message, const Member *peer, std::size_t &size,
                             Base::MonoTime now)
{
    const auto availableBytes = [&](ControlPriority priority) {
        return std::min(maxFilledBytes, std::max(m_options.budget->available(priority, now), size))
            - size;
    };
    const auto addMember = [&](const MemberUpdate &update, ControlPriority priority) {
        const std::size_t bytes = encodedSize(update);
        if (bytes > availableBytes(priority))
            return false;
        message.members.push_back(update);
        size += bytes;
        return true;
    };
    // The process at an address without a known member may not have this process in its table, so
    // the message starts with the entry of this process. A peer that is considered suspect or dead
    // is sent its own entry, so that it can refute it.
    if (!peer)
        addMember(m_self, ControlPriority::Essential);
    else if (peer->info.status != MemberStatus::Alive)
        addMember(peer->info, ControlPriority::Essential);

    for (const std::string &name : m_leavingUpdates.names()) {
        if (!m_leaving.contains(name)) {
            m_leavingUpdates.remove(name);
            continue;
        }
        const LeavingEndpoint leaving = m_leaving.entry(name, now);
        if (encodedSize(leaving) > availableBytes(ControlPriority::Configuration))
            break;
        size += encodedSize(leaving);
        message.leaving.push_back(leaving);
        m_leavingUpdates.markSent(name, retransmitLimit());
    }
    for (const std::string &name : m_memberUpdates.names()) {
        const Member *member = m_table.find(name);
        if (!member) {
            m_memberUpdates.remove(name);
            continue;
        }
        if (!addMember(member->info, ControlPriority::Membership))
            break;
        // After a cold start or a long partition, most updates arrive by pulls; gossiping all of
        // them with the full limit would use up the budget.
        constexpr std::size_t reducedLimitThreshold = 32;
        constexpr std::uint32_t reducedRetransmitLimit = 4;
        m_memberUpdates.markSent(name,
                                 m_memberUpdates.count() > reducedLimitThreshold
                                     ? reducedRetransmitLimit
                                     : retransmitLimit());
    }
}

void Membership::fillDigests(PeerMessage &message, const Member &peer, std::size_t &size,
                             Base::MonoTime now)
{
    const auto availableBytes = [&](ControlPriority priority) {
        return std::min(maxFilledBytes, std::max(m_options.budget->available(priority, now), size))
            - size;
    };
    if (isOwnDataCentre(peer)) {
        std::vector<DataCentreContact> contacts = m_links.contacts(now);
        std::size_t bytes = 0;
        for (const DataCentreContact &contact : contacts)
            bytes += encodedSize(contact);
        if (bytes <= availableBytes(ControlPriority::Membership)) {
            message.contacts = std::move(contacts);
            size += bytes;
        }
    }
    const bool acceptsLoads = peer.info.role == MemberRole::Router && isOwnRegion(peer)
        && message.type != MessageType::PingRequest;
    if (!acceptsLoads)
        return;
    message.loads = m_loads.take(availableBytes(ControlPriority::Load), now);
    for (const LoadReport &report : message.loads)
        size += encodedSize(report);
    message.demands = m_demands.take(availableBytes(ControlPriority::Demand), now);
    for (const DemandDigest &digest : message.demands)
        size += encodedSize(digest);
}

void Membership::apply(const MemberUpdate &update, Base::MonoTime now)
{
    if (update.id == m_self.id) {
        applyOwnUpdate(update, now);
        return;
    }
    if (update.id.empty() || m_table.members().size() >= maxKnownMembers)
        return;
    std::optional<MemberUpdate> before;
    if (const Member *known = m_table.find(update.id))
        before = known->info;
    if (m_table.merge(update, now) == MemberTable::Merge::Ignored)
        return;
    m_tableChangedAt = now;
    m_memberUpdates.add(update.id);
    Member &member = *m_table.find(update.id);
    member.isListed = std::any_of(m_vmList.begin(), m_vmList.end(),
                                  [&](const ListedVm &vm) { return ipNumber(vm.ip) == update.ip; });
    if (update.status == MemberStatus::Suspect) {
        const bool isExpected = member.isListed || m_vmList.empty();
        member.suspectUntil = now + m_options.timing.suspicionTime / (isExpected ? 1 : 2);
    }
    if (!isOwnDataCentre(member))
        m_links.addDataCentre(update.dataCentre, now);
    if (member.isAlive())
        markReplacedMembersDead(update, now);
    if (!member.isDamped)
        scheduleUrgentGossip(now);
    notifyMemberChanged(member, before);
}

void Membership::applyOwnUpdate(const MemberUpdate &update, Base::MonoTime now)
{
    if (update.incarnation < m_self.incarnation)
        return;
    const bool isCurrent =
        update.incarnation == m_self.incarnation && update.status == MemberStatus::Alive;
    if (!isCurrent)
        raiseIncarnation(update.incarnation, now);
}

void Membership::markReplacedMembersDead(const MemberUpdate &update, Base::MonoTime now)
{
    std::vector<MemberUpdate> replaced;
    for (const Member *member : peersWhere([&](const Member &member) {
             return member.isAlive() && member.info.id != update.id && member.info.ip == update.ip
                 && member.info.port == update.port && member.info.incarnation < update.incarnation;
         }))
        replaced.push_back(member->info);
    for (MemberUpdate &old : replaced) {
        old.status = MemberStatus::Dead;
        apply(old, now);
    }
}

void Membership::raiseIncarnation(std::uint64_t above, Base::MonoTime now)
{
    m_self.incarnation = above + 1;
    m_table.merge(m_self, now);
    m_memberUpdates.add(m_self.id);
    m_tableChangedAt = now;
    scheduleUrgentGossip(now);
    if (incarnationRaised)
        incarnationRaised(Base::Incarnation(m_self.incarnation));
}

void Membership::notifyMemberChanged(const Member &member,
                                     const std::optional<MemberUpdate> &before)
{
    if (!memberChanged)
        return;
    const bool wasAlive = before
        && (before->status == MemberStatus::Alive || before->status == MemberStatus::Suspect);
    switch (member.info.status) {
    case MemberStatus::Suspect:
        memberChanged(member, wasAlive ? MemberEvent::Suspected : MemberEvent::Joined);
        return;
    case MemberStatus::Dead:
        if (wasAlive)
            memberChanged(member, MemberEvent::Died);
        return;
    case MemberStatus::Left:
        if (wasAlive)
            memberChanged(member, MemberEvent::Left);
        return;
    case MemberStatus::Alive:
        break;
    }
    if (!wasAlive)
        memberChanged(member, MemberEvent::Joined);
    else if (before->status == MemberStatus::Suspect)
        memberChanged(member, MemberEvent::Restored);
    else
        memberChanged(member, MemberEvent::Restarted);
}

void Membership::scheduleUrgentGossip(Base::MonoTime now)
{
    if (!m_urgentGossipAt)
        m_urgentGossipAt = now + m_options.timing.urgentDelay;
}

} // namespace Lagoonbank::Membership
