#include "gateway/promptdirectory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Lagoonbank::Gateway {

namespace {

auto findIn(auto &holders, std::uint64_t endpoint)
{
    return std::find_if(holders.begin(), holders.end(),
                        [&](const auto &one) { return one.endpoint == endpoint; });
}

} // namespace

Schema::SharedPrompt toShared(const PromptHolding &holding)
{
    return {.prompt = holding.prompt.hash,
            .endpoint = holding.endpoint,
            .tokens = static_cast<std::uint32_t>(holding.prompt.tokens.value()),
            .readingMs = static_cast<std::uint32_t>(
                std::max<std::int64_t>(0, Base::toMilliseconds(holding.remainingReadTime)))};
}

PromptHolding fromShared(const Schema::SharedPrompt &shared)
{
    return {.prompt = {.hash = shared.prompt, .tokens = Base::Tokens(shared.tokens)},
            .endpoint = shared.endpoint,
            .remainingReadTime = std::chrono::milliseconds(shared.readingMs)};
}

PromptDirectory::Announcement PromptDirectory::recordUse(const PromptHolding &holding,
                                                         Base::MonoTime now)
{
    const bool isNew = !find(holding.prompt.hash, holding.endpoint);
    Holder &one = holder(holding, now);
    one.usedAt = now;
    const bool isToBeTold = isNew || now - one.announcedAt >= m_options.announceInterval;
    if (isToBeTold)
        one.announcedAt = now;
    sweep(now);
    if (!isToBeTold)
        return Announcement::None;
    return isNew ? Announcement::New : Announcement::InUse;
}

void PromptDirectory::mergeHolding(const PromptHolding &holding, Base::MonoTime now)
{
    Holder &one = holder(holding, now);
    one.usedAt = now;
    one.announcedAt = now;
    // The peer knows better than this router that the endpoint did not hold it.
    one.readUntil = std::max(one.readUntil, now + holding.remainingReadTime);
    sweep(now);
}

void PromptDirectory::read(std::uint64_t prompt, std::uint64_t endpoint, Base::MonoTime now)
{
    const auto found = m_prompts.find(prompt);
    if (found == m_prompts.end())
        return;
    const auto one = findIn(found->second, endpoint);
    if (one != found->second.end())
        one->readUntil = std::min(one->readUntil, now);
}

void PromptDirectory::drop(std::uint64_t prompt, std::uint64_t endpoint)
{
    const auto found = m_prompts.find(prompt);
    if (found == m_prompts.end())
        return;
    Holders &holders = found->second;
    const auto one = findIn(holders, endpoint);
    if (one == holders.end())
        return;
    m_memoryUses[endpoint].tokens -= one->tokens;
    holders.erase(one);
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
    const auto one = findIn(known, endpoint);
    return one == known.end() ? nullptr : &*one;
}

bool PromptDirectory::hasMemory(std::uint64_t endpoint, Base::Tokens tokens,
                                Base::Tokens memory) const
{
    if (memory.value() <= 0)
        return true;
    const auto ledger = m_memoryUses.find(endpoint);
    const std::int64_t held = ledger == m_memoryUses.end() ? 0 : ledger->second.tokens;
    const double usable = m_options.memoryShare * static_cast<double>(memory.value());
    return static_cast<double>(held + tokens.value()) <= usable;
}

/// The holder in question, added if it is new.
PromptDirectory::Holder &PromptDirectory::holder(const PromptHolding &holding, Base::MonoTime now)
{
    Holders &holders = m_prompts[holding.prompt.hash];
    MemoryUse &ledger = m_memoryUses[holding.endpoint];
    if (holding.memory.value() > 0)
        ledger.memory = holding.memory.value();
    const auto known = findIn(holders, holding.endpoint);
    if (known != holders.end())
        return *known;
    ledger.tokens += holding.prompt.tokens.value();
    return holders.emplace_back(
        Holder{.endpoint = holding.endpoint,
               .tokens = static_cast<std::uint32_t>(holding.prompt.tokens.value()),
               .usedAt = now,
               .readUntil = now + holding.remainingReadTime});
}

void PromptDirectory::sweep(Base::MonoTime now)
{
    const bool isFull = m_prompts.size() > m_options.maximumPrompts;
    if (now - m_sweptAt < m_options.sweepInterval && !isFull)
        return;
    m_sweptAt = now;
    forgetUnused(now - m_options.lifetime);
    // Far more prompts than are remembered: the last second of them is better than none.
    if (m_prompts.size() > m_options.maximumPrompts)
        forgetUnused(now - std::chrono::seconds(1));
    if (m_prompts.size() > m_options.maximumPrompts)
        forgetUnused(now + std::chrono::seconds(1));
    for (const auto &[endpoint, ledger] : m_memoryUses) {
        if (ledger.memory > 0 && ledger.tokens > ledger.memory)
            forgetOverflow(endpoint, ledger);
    }
}

void PromptDirectory::forgetUnused(Base::MonoTime usedBefore)
{
    absl::erase_if(m_prompts, [&](auto &entry) {
        Holders &holders = entry.second;
        const auto isUnused = [&](const Holder &one) {
            if (one.usedAt >= usedBefore)
                return false;
            m_memoryUses[one.endpoint].tokens -= one.tokens;
            return true;
        };
        holders.erase(std::remove_if(holders.begin(), holders.end(), isUnused), holders.end());
        return holders.empty();
    });
    absl::erase_if(m_memoryUses, [](const auto &entry) { return entry.second.tokens <= 0; });
}

/// What the endpoint has had to forget: the longest unused, until the rest fits.
void PromptDirectory::forgetOverflow(std::uint64_t endpoint, const MemoryUse &ledger)
{
    std::vector<std::pair<Base::MonoTime, std::uint64_t>> byUse;
    for (const auto &[prompt, holders] : m_prompts) {
        const auto one = findIn(holders, endpoint);
        if (one != holders.end())
            byUse.emplace_back(one->usedAt, prompt);
    }
    std::sort(byUse.begin(), byUse.end());
    for (const auto &[usedAt, prompt] : byUse) {
        if (ledger.tokens <= ledger.memory)
            return;
        drop(prompt, endpoint);
    }
}

} // namespace Lagoonbank::Gateway
