#include "http/memorybudget.h"

#include <absl/cleanup/cleanup.h>

#include <sys/sysinfo.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace Lagoonbank::Http {

namespace {

/// Shares of the budget: half for large requests, a quarter each for large answers and for what is
/// small.
constexpr std::size_t requestsDivisor = 2;
constexpr std::size_t otherDivisor = 4;
constexpr std::size_t clientsDivisor = 2;

std::size_t machineBytes()
{
    struct sysinfo info
    { };
    return sysinfo(&info) == 0 ? std::size_t{info.totalram} * info.mem_unit : 0;
}

} // namespace

std::string_view toString(MemoryKind kind)
{
    switch (kind) {
    case MemoryKind::Arriving:
        return "arriving";
    case MemoryKind::Waiting:
        return "waiting";
    case MemoryKind::Answers:
        break;
    }
    return "answers";
}

MemoryBudget::MemoryBudget(Options options)
    : m_options(options)
{ }

MemoryBudget::Options MemoryBudget::optionsFor(std::optional<std::uint32_t> mebibytes,
                                               const Runtime::Clock &clock)
{
    constexpr std::size_t mebibyte = 1024 * 1024;
    const std::size_t bytes = mebibytes ? *mebibytes * mebibyte : machineBytes();
    return {.maxBytes = bytes / clientsDivisor, .clock = &clock};
}

std::size_t MemoryBudget::maxBytesOf(Part part) const
{
    return m_options.maxBytes / (part == Part::LargeRequests ? requestsDivisor : otherDivisor);
}

MemoryBudget::Part MemoryBudget::partFor(MemoryKind kind, std::size_t bytes)
{
    if (bytes <= maxSmallBytes)
        return Part::Small;
    return kind == MemoryKind::Answers ? Part::LargeAnswers : Part::LargeRequests;
}

bool MemoryBudget::resize(MemoryUse &use, std::size_t bytes)
{
    if (use.m_bytes == 0) {
        use.m_beganAt = m_options.clock->now();
        use.m_progressedAt = use.m_beganAt;
    }
    if (bytes > use.m_bytes && !makeRoom(use, partFor(use.m_kind, bytes), bytes)) {
        report(use.m_kind, Event::Refused);
        return false;
    }
    setBytes(use, bytes);
    return true;
}

/// Reclaims memory until the use fits. False if that is impossible.
bool MemoryBudget::makeRoom(MemoryUse &use, Part part, std::size_t bytes)
{
    const bool wasGrowing = std::exchange(use.m_isGrowing, true);
    const absl::Cleanup reset = [&use, wasGrowing] { use.m_isGrowing = wasGrowing; };
    const bool isInPart = use.m_bytes > 0 && partFor(use.m_kind, use.m_bytes) == part;
    const std::size_t ownBytes = isInPart ? use.m_bytes : 0;
    const std::size_t maxBytes = maxBytesOf(part);
    while (m_partBytes[static_cast<std::size_t>(part)] - ownBytes + bytes > maxBytes) {
        MemoryUse *victim = bytes <= maxBytes ? chooseVictim(use, part) : nullptr;
        if (!victim)
            return false;
        report(victim->m_kind, Event::Reclaimed);
        victim->m_reclaim();
    }
    return true;
}

/// Chooses what yields to a use: the largest one that makes no progress, or else the newest one, if
/// it began after the use.
MemoryUse *MemoryBudget::chooseVictim(const MemoryUse &use, Part part)
{
    MemoryUse *largestStalled = nullptr;
    MemoryUse *newest = nullptr;
    for (MemoryUse &other : m_yielding) {
        if (other.m_isGrowing || partFor(other.m_kind, other.m_bytes) != part)
            continue;
        if (isStalled(other) && (!largestStalled || other.m_bytes > largestStalled->m_bytes))
            largestStalled = &other;
        newest = &other;
    }
    if (largestStalled)
        return largestStalled;
    return newest && newest->m_beganAt > use.m_beganAt ? newest : nullptr;
}

bool MemoryBudget::isStalled(const MemoryUse &use) const
{
    return m_options.clock->now() - use.m_progressedAt >= m_options.stallTime;
}

void MemoryBudget::setBytes(MemoryUse &use, std::size_t bytes)
{
    if (use.m_bytes > 0)
        m_partBytes[static_cast<std::size_t>(partFor(use.m_kind, use.m_bytes))] -= use.m_bytes;
    else if (use.m_reclaim)
        m_yielding.push_back(use);
    if (bytes > 0)
        m_partBytes[static_cast<std::size_t>(partFor(use.m_kind, bytes))] += bytes;
    else
        use.unlink();
    std::size_t &held = m_heldBytes[static_cast<std::size_t>(use.m_kind)];
    held += bytes;
    held -= std::exchange(use.m_bytes, bytes);
    m_peakBytes = std::max(m_peakBytes,
                           std::accumulate(m_heldBytes.begin(), m_heldBytes.end(), std::size_t{0}));
}

void MemoryBudget::report(MemoryKind kind, Event event) const
{
    if (changed)
        changed(kind, event);
}

MemoryUse::MemoryUse(std::shared_ptr<MemoryBudget> budget, MemoryKind kind,
                     std::function<void()> reclaim)
    : m_budget(std::move(budget))
    , m_kind(kind)
    , m_reclaim(std::move(reclaim))
{ }

MemoryUse::~MemoryUse()
{
    release();
}

} // namespace Lagoonbank::Http
