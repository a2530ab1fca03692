#include "routing/fairshare.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace Lagoonbank::Routing {

namespace {

constexpr double minimumWork = 1e-6;
constexpr double minimumWeight = 1e-6;

double virtualDuration(const FairShare::Entry &entry)
{
    return std::max(entry.work.value(), minimumWork) / std::max(entry.weight, minimumWeight);
}

} // namespace

std::optional<FairShare::Ticket> FairShare::push(const Entry &entry)
{
    const std::string &workspace = entry.workspace.value();
    Level &level = m_levels[entry.priority];
    const auto [queue, isNew] = level.queues.try_emplace(workspace);
    if (isNew) {
        const auto node = level.finishTimes.extract(workspace);
        const double finishTime = node.empty() ? 0 : node.mapped();
        queue->second.startTime = std::max(level.currentTime, finishTime);
    }
    std::deque<Entry> &entries = queue->second.entries;
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
        const auto queue = std::min_element(
            level.queues.begin(), level.queues.end(),
            [](const auto &a, const auto &b) { return a.second.startTime < b.second.startTime; });
        if (queue != level.queues.end())
            return queue->second.entries.front().ticket;
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
    WorkspaceQueue &queue = level.queues.at(workspace);
    level.currentTime = queue.startTime;
    queue.startTime += virtualDuration(queue.entries.front());
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
    const auto queue = level.queues.find(workspace);
    std::erase_if(queue->second.entries, [&](const Entry &e) { return e.ticket == ticket; });
    if (queue->second.entries.empty())
        eraseQueue(level, queue);
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

// Evicts, from the workspace with the most waiting requests, the one with the latest deadline
// among those of its least urgent priority.
FairShare::Ticket FairShare::evict()
{
    const auto largest =
        std::max_element(m_waiting.begin(), m_waiting.end(), [](const auto &a, const auto &b) {
            if (a.second != b.second)
                return a.second < b.second;
            return a.first.compare(b.first) < 0;
        });
    const std::string workspace = largest->first;
    for (auto level = m_levels.rbegin(); level != m_levels.rend(); ++level) {
        const auto queue = level->second.queues.find(workspace);
        if (queue == level->second.queues.end())
            continue;
        const Ticket ticket = queue->second.entries.back().ticket;
        remove(ticket);
        return ticket;
    }
    return 0; // not reached: a workspace with waiting requests has a queue
}

// Keeps the virtual finish time of a workspace that is ahead of the others, so that it can't reset
// its charge by emptying its queue.
void FairShare::eraseQueue(Level &level, std::map<std::string, WorkspaceQueue>::iterator queue)
{
    if (queue->second.startTime > level.currentTime)
        level.finishTimes[queue->first] = queue->second.startTime;
    level.queues.erase(queue);
    if (!level.queues.empty()) {
        std::erase_if(level.finishTimes,
                      [&](const auto &item) { return item.second <= level.currentTime; });
        return;
    }
    level.finishTimes.clear();
    level.currentTime = 0;
}

} // namespace Lagoonbank::Routing
