/// \file Which other data centres a process probes.

#include "membership/membership.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Lagoonbank::Membership {

void Membership::probeOtherDataCentres(Base::MonoTime now)
{
    // Each process of the own data centre takes another one of those that were heard of longest
    // ago, so that all are tried in turn; every second time only those of the own region.
    const bool ownRegionOnly = ++m_crossTurn % 2 == 0;
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
    // What others heard may not have come here; so a late one is tried by this process as well.
    const bool isLate = lastContactOrProbe(order.front()) + m_options.timing.linkTimeout / 2 < now;
    if (isLate && std::ranges::find(chosen, order.front()) == chosen.end())
        chosen.push_back(order.front());
    for (const std::string &dataCentre : chosen) {
        std::vector<const Member *> there;
        std::ranges::copy_if(members, std::back_inserter(there), [&](const Member *member) {
            return member->info.dataCentre == dataCentre;
        });
        m_crossProbedAt[dataCentre] = now;
        startProbe(*randomOf(there), true, now);
    }
}

Base::MonoTime Membership::lastContactOrProbe(const std::string &dataCentre) const
{
    const auto tried = m_crossProbedAt.find(dataCentre);
    const Base::MonoTime contact = m_links.lastContact(dataCentre);
    return tried == m_crossProbedAt.end() ? contact : std::max(contact, tried->second);
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
    std::size_t before = 0;
    std::size_t others = 0;
    for (const auto &[id, member] : m_table.members()) {
        if (id == m_self.id || !member.isAlive() || !isOwnDataCentre(member))
            continue;
        ++others;
        if (id < m_self.id)
            ++before;
    }
    return {before, others + 1};
}

std::size_t Membership::crossProbeCount(std::size_t dataCentres, std::size_t processes) const
{
    // The own data centre tries each other one three times within the time after which it is lost.
    constexpr std::int64_t triesInTime = 3;
    constexpr std::size_t most = 6;
    const auto turns = static_cast<std::size_t>(std::max<std::int64_t>(
        1, m_options.timing.linkTimeout / (m_options.timing.crossProbePeriod * triesInTime)));
    const std::size_t needed = (dataCentres + processes * turns - 1) / (processes * turns);
    return std::min({needed, most, dataCentres});
}

} // namespace Lagoonbank::Membership
