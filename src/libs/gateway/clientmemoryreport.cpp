#include "gateway/clientmemoryreport.h"

#include <utility>

namespace Lagoonbank::Gateway {

namespace {

constexpr std::string_view part = "gateway";

} // namespace

ClientMemoryReport::ClientMemoryReport(Options options)
    : m_options(std::move(options))
{
    m_options.memory->changed = [this](Http::MemoryKind kind, Http::MemoryBudget::Event event) {
        const bool isRefusal = event == Http::MemoryBudget::Event::Refused;
        Counts &counts = m_counts.at(static_cast<std::size_t>(kind));
        ++(isRefusal ? counts.refused : counts.reclaimed);
        m_options.metrics->memoryShortages(kind, event).increment();
    };
    m_options.metrics->maxClientMemory.set(static_cast<double>(m_options.memory->maxBytes()));
}

ClientMemoryReport::~ClientMemoryReport()
{
    m_options.memory->changed = nullptr;
}

void ClientMemoryReport::update()
{
    const Http::MemoryBudget &memory = *m_options.memory;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        const auto kind = static_cast<Http::MemoryKind>(i);
        const std::size_t held = memory.heldBytes(kind);
        m_options.metrics->clientMemory(kind).set(static_cast<double>(held));
        const Counts counts = std::exchange(m_counts.at(i), {});
        if (counts.refused + counts.reclaimed == 0)
            continue;
        m_options.log->event(part, "The memory for clients is used up.",
                             {{"kind", Http::toString(kind)},
                              {"refused", counts.refused},
                              {"reclaimed", counts.reclaimed},
                              {"held_bytes", held},
                              {"max_bytes", memory.maxBytes()}});
    }
    m_options.metrics->peakClientMemory.set(static_cast<double>(memory.peakBytes()));
}

} // namespace Lagoonbank::Gateway
