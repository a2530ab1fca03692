#include "gateway/promptdirectory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Lagoonbank::Gateway {

namespace {

auto findIn(auto &holders, std::uint64_t endpoint)
{
    return std::find_if(holders.begin(), holders.end(),
                        [&](const auto &entry) { return entry.endpoint == endpoint; });
}

} // namespace

Schema::SharedPrompt toShared(const PromptHolding &holding)
{
    return {.prompt = holding.prompt.hash,
            .endpoint = holding.endpoint,
            .tokens = static_cast<std::uint32_t>(holding.prompt.tokens.value()),
            .remainingPrefillMs = static_cast<std::uint32_t>(
                std::max<std::int64_t>(0, Base::toMilliseconds(holding.remainingPrefillTime)))};
}

PromptHolding fromShared(const Schema::SharedPrompt &shared)
{
    return {.prompt = {.hash = shared.prompt, .tokens = Base::Tokens(shared.tokens)},
            .endpoint = shared.endpoint,
            .remainingPrefillTime = std::chrono::milliseconds(shared.remainingPrefillMs)};
}

PromptDirectory::Announcement PromptDirectory::recordUse(const PromptHolding &holding,
                                                         Base::MonoTime now)
{
    const bool isNew = !find(holding.prompt.hash, holding.endpoint);
    Holder &entry = holder(holding, now);
    entry.usedAt = now;
    const bool isAnnouncementDue = isNew || now - entry.announcedAt >= m_options.announceInterval;
    if (isAnnouncementDue)
        entry.announcedAt = now;
    sweep(now);
    if (!isAnnouncementDue)
        return Announcement::None;
    return isNew ? Announcement::New : Announcement::InUse;
}

void PromptDirectory::mergeHolding(const PromptHolding &holding, Base::MonoTime now)
{
    Holder &entry = holder(holding, now);
    entry.usedAt = now;
    entry.announcedAt = now;
    // The endpoint may prefill the prompt again although this router has recorded an earlier end.
    entry.prefillEndsAt = std::max(entry.prefillEndsAt, now + holding.remainingPrefillTime);
    sweep(now);
}

void PromptDirectory::recordPrefillEnd(std::uint64_t prompt, std::uint64_t endpoint,
                                       Base::MonoTime now)
{
    const auto found = m_prompts.find(prompt);
    if (found == m_prompts.end())
        return;
    const auto entry = findIn(found->second, endpoint);
    if (entry != found->second.end())
        entry->prefillEndsAt = std::min(entry->prefillEndsAt, now);
}

void PromptDirectory::drop(std::uint64_t prompt, std::uint64_t endpoint)
{
    const auto found = m_prompts.find(prompt);
    if (found == m_prompts.end())
        return;
    Holders &holders = found->second;
    const auto entry = findIn(holders, endpoint);
    if (entry == holders.end())
        return;
    m_memoryUses[endpoint].tokens -= entry->tokens;
    holders.erase(entry);
    if (holders.empty())
        m_prompts.erase(found);
}

const PromptDirectory::Holders &PromptDirectory::holders(std::uint64_t prompt) const
{
    static const Holders none;
    const auto found = m_prompts.find(prompt);
    return found == m_prompts.end() ? none : found->second;
}

const PromptDirectory::Holder *PromptDirectory::find(std::uint64_t prompt,
                                                     std::uint64_t endpoint) const
{
    const Holders &known = holders(prompt);
    const auto entry = findIn(known, endpoint);
    return entry == known.end() ? nullptr : &*entry;
}

bool PromptDirectory::hasMemory(std::uint64_t endpoint, Base::Tokens tokens,
                                Base::Tokens memory) const
{
    if (memory.value() <= 0)
        return true;
    const double usable = m_options.memoryShare * static_cast<double>(memory.value());
    return static_cast<double>((heldTokens(endpoint) + tokens).value()) <= usable;
}

Base::Tokens PromptDirectory::heldTokens(std::uint64_t endpoint) const
{
    const auto use = m_memoryUses.find(endpoint);
    return Base::Tokens(use == m_memoryUses.end() ? 0 : use->second.tokens);
}

/// Returns the holder, which is added if it is new.
PromptDirectory::Holder &PromptDirectory::holder(const PromptHolding &holding, Base::MonoTime now)
{
    Holders &holders = m_prompts[holding.prompt.hash];
    MemoryUse &use = m_memoryUses[holding.endpoint];
    if (holding.memory.value() > 0)
        use.memory = holding.memory.value();
    const auto known = findIn(holders, holding.endpoint);
    if (known != holders.end())
        return *known;
    use.tokens += holding.prompt.tokens.value();
    return holders.emplace_back(
        Holder{.endpoint = holding.endpoint,
               .tokens = static_cast<std::uint32_t>(holding.prompt.tokens.value()),
               .usedAt = now,
               .prefillEndsAt = now + holding.remainingPrefillTime});
}

void PromptDirectory::sweep(Base::MonoTime now)
{
    const bool isFull = m_prompts.size() > m_options.maximumPrompts;
    if (now - m_sweptAt < m_options.sweepInterval && !isFull)
        return;
    m_sweptAt = now;
    removeUnused(now - m_options.lifetime);
    // Still over the limit: keeps the prompts of the last second if they fit, otherwise none.
    if (m_prompts.size() > m_options.maximumPrompts)
        removeUnused(now - std::chrono::seconds(1));
    if (m_prompts.size() > m_options.maximumPrompts)
        removeUnused(now + std::chrono::seconds(1));
    for (const auto &[endpoint, use] : m_memoryUses) {
        if (use.memory > 0 && use.tokens > use.memory)
            evictOverflow(endpoint, use);
    }
}

void PromptDirectory::removeUnused(Base::MonoTime usedBefore)
{
    absl::erase_if(m_prompts, [&](auto &entry) {
        Holders &holders = entry.second;
        const auto isUnused = [&](const Holder &holder) {
            if (holder.usedAt >= usedBefore)
                return false;
            m_memoryUses[holder.endpoint].tokens -= holder.tokens;
            return true;
        };
        holders.erase(std::remove_if(holders.begin(), holders.end(), isUnused), holders.end());
        return holders.empty();
    });
    absl::erase_if(m_memoryUses, [](const auto &entry) { return entry.second.tokens <= 0; });
}

/// Removes the least recently used prompts of an endpoint until the rest fits into its memory.
void PromptDirectory::evictOverflow(std::uint64_t endpoint, const MemoryUse &use)
{
    std::vector<std::pair<Base::MonoTime, std::uint64_t>> byUse;
    for (const auto &[prompt, holders] : m_prompts) {
        const auto entry = findIn(holders, endpoint);
        if (entry != holders.end())
            byUse.emplace_back(entry->usedAt, prompt);
    }
    std::sort(byUse.begin(), byUse.end());
    for (const auto &[usedAt, prompt] : byUse) {
        if (use.tokens <= use.memory)
            return;
        drop(prompt, endpoint);
    }
}

} // namespace Lagoonbank::Gateway
