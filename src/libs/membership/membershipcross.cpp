/// \file Membership: selection of the other data centres that a process probes.

#include "membership/membership.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Lagoonbank::Membership {

void Membership::probeOtherDataCentres(Base::MonoTime now)
{
    // The processes of the own data centre each probe different data centres, those with the oldest
    // contact or probe first, so that all are probed in turn. Every second period probes only data
    // centres of the own region.
    const bool ownRegionOnly = ++m_crossProbeRounds % 2 == 0;
    const auto isCandidate = [&](const Member &member) {
        return member.isAlive() && !isOwnDataCentre(member)
            && (!ownRegionOnly || isOwnRegion(member));
    };
    std::vector<const Member *> members = peersWhere(isCandidate);
    if (members.empty() && ownRegionOnly)
        members = peersWhere(
            [&](const Member &member) { return member.isAlive() && !isOwnDataCentre(member); });
    if (members.empty())
        return;
    const std::vector<std::string> order = dataCentresToProbe(members);
    const auto [rank, processes] = ownRank();
    const std::size_t probes = crossProbeCount(order.size(), processes);
    std::vector<std::string> chosen;
    chosen.reserve(probes + 1);
    for (std::size_t i = 0; i < probes; ++i)
        chosen.push_back(order[(rank + i * processes) % order.size()]);
    // Contacts of the other processes may not have been received here, so this process also probes
    // the data centre with the oldest contact or probe if that is older than half the timeout.
    const bool isOverdue =
        lastContactOrProbe(order.front()) + m_options.timing.linkTimeout / 2 < now;
    if (isOverdue && std::ranges::find(chosen, order.front()) == chosen.end())
        chosen.push_back(order.front());
    for (const std::string &dataCentre : chosen) {
        std::vector<const Member *> targets;
        std::ranges::copy_if(members, std::back_inserter(targets), [&](const Member *member) {
            return member->info.dataCentre == dataCentre;
        });
        m_crossProbedAt[dataCentre] = now;
        startProbe(*randomOf(targets), true, now);
    }
}

Base::MonoTime Membership::lastContactOrProbe(const std::string &dataCentre) const
{
    const auto probedAt = m_crossProbedAt.find(dataCentre);
    const Base::MonoTime contact = m_links.lastContact(dataCentre);
    return probedAt == m_crossProbedAt.end() ? contact : std::max(contact, probedAt->second);
}

std::vector<std::string>
Membership::dataCentresToProbe(const std::vector<const Member *> &members) const
{
    std::set<std::string> names;
    for (const Member *member : members)
        names.insert(member->info.dataCentre);
    std::vector<std::string> order(names.begin(), names.end());
    std::ranges::stable_sort(order, {},
                             [this](const std::string &name) { return lastContactOrProbe(name); });
    return order;
}

std::pair<std::size_t, std::size_t> Membership::ownRank() const
{
    std::size_t rank = 0;
    std::size_t others = 0;
    for (const auto &[id, member] : m_table.members()) {
        if (id == m_self.id || !member.isAlive() || !isOwnDataCentre(member))
            continue;
        ++others;
        if (id < m_self.id)
            ++rank;
    }
    return {rank, others + 1};
}

std::size_t Membership::crossProbeCount(std::size_t dataCentres, std::size_t processes) const
{
    // The processes of the own data centre together probe each other data centre three times within
    // the timeout after which it counts as unreachable.
    constexpr std::int64_t probesPerLinkTimeout = 3;
    constexpr std::size_t maxProbesPerPeriod = 6;
    const auto periods = static_cast<std::size_t>(std::max<std::int64_t>(
        1,
        m_options.timing.linkTimeout / (m_options.timing.crossProbePeriod * probesPerLinkTimeout)));
    const std::size_t needed = (dataCentres + processes * periods - 1) / (processes * periods);
    return std::min({needed, maxProbesPerPeriod, dataCentres});
}

} // namespace Lagoonbank::Membership
