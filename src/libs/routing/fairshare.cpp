#include "routing/fairshare.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace Lagoonbank::Routing {

namespace {

constexpr double leastWork = 1e-6;
constexpr double leastWeight = 1e-6;

double virtualTime(const FairShare::Entry &entry)
{
    return std::max(entry.work.value(), leastWork) / std::max(entry.weight, leastWeight);
}

} // namespace

std::optional<FairShare::Ticket> FairShare::push(const Entry &entry)
{
    const std::string &workspace = entry.workspace.value();
    Level &level = m_levels[entry.priority];
    const auto [lane, isNew] = level.queues.try_emplace(workspace);
    if (isNew) {
        const auto finished = level.finished.extract(workspace);
        const double before = finished.empty() ? 0 : finished.mapped();
        lane->second.start = std::max(level.now, before);
    }
    std::deque<Entry> &entries = lane->second.entries;
    const auto isEarlier = [](const Entry &a, const Entry &b) { return a.deadline < b.deadline; };
    entries.insert(std::upper_bound(entries.begin(), entries.end(), entry, isEarlier), entry);
    m_locations.emplace(entry.ticket, std::pair(entry.priority, workspace));
    ++m_waiting[workspace];
    if (m_locations.size() <= m_limit)
        return std::nullopt;
    return evict();
}

std::optional<FairShare::Ticket> FairShare::front() const
{
    for (const auto &[priority, level] : m_levels) {
        const auto lane = std::min_element(
            level.queues.begin(), level.queues.end(),
            [](const auto &a, const auto &b) { return a.second.start < b.second.start; });
        if (lane != level.queues.end())
            return lane->second.entries.front().ticket;
    }
    return std::nullopt;
}

std::optional<FairShare::Ticket> FairShare::pop()
{
    const std::optional<Ticket> ticket = front();
    if (!ticket)
        return std::nullopt;
    const auto &[priority, workspace] = m_locations.at(*ticket);
    Level &level = m_levels.at(priority);
    WorkspaceQueue &lane = level.queues.at(workspace);
    level.now = lane.start;
    lane.start += virtualTime(lane.entries.front());
    remove(*ticket);
    return ticket;
}

bool FairShare::remove(Ticket ticket)
{
    const auto found = m_locations.find(ticket);
    if (found == m_locations.end())
        return false;
    const auto [priority, workspace] = found->second;
    Level &level = m_levels.at(priority);
    const auto lane = level.queues.find(workspace);
    std::erase_if(lane->second.entries, [&](const Entry &e) { return e.ticket == ticket; });
    if (lane->second.entries.empty())
        eraseQueue(level, lane);
    m_locations.erase(found);
    if (--m_waiting[workspace] == 0)
        m_waiting.erase(workspace);
    return true;
}

std::size_t FairShare::waiting(const Base::WorkspaceId &workspace) const
{
    const auto found = m_waiting.find(workspace.value());
    return found == m_waiting.end() ? 0 : found->second;
}

// The latest of the least urgent requests of the workspace that waits with most.
FairShare::Ticket FairShare::evict()
{
    const auto most =
        std::max_element(m_waiting.begin(), m_waiting.end(), [](const auto &a, const auto &b) {
            if (a.second != b.second)
                return a.second < b.second;
            return a.first.compare(b.first) < 0;
        });
    const std::string workspace = most->first;
    for (auto level = m_levels.rbegin(); level != m_levels.rend(); ++level) {
        const auto lane = level->second.queues.find(workspace);
        if (lane == level->second.queues.end())
            continue;
        const Ticket ticket = lane->second.entries.back().ticket;
        remove(ticket);
        return ticket;
    }
    return 0; // not reached: a workspace that waits has a lane
}

// What a workspace used ahead of the others stays charged until they have caught up.
void FairShare::eraseQueue(Level &level, std::map<std::string, WorkspaceQueue>::iterator lane)
{
    if (lane->second.start > level.now)
        level.finished[lane->first] = lane->second.start;
    level.queues.erase(lane);
    if (!level.queues.empty()) {
        std::erase_if(level.finished, [&](const auto &item) { return item.second <= level.now; });
        return;
    }
    level.finished.clear();
    level.now = 0;
}

} // namespace Lagoonbank::Routing
