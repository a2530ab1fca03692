#include "capacity/prefillqueue.h"

#include "capacity/conversions.h"

#include <algorithm>

namespace Lagoonbank::Capacity {

using Internal::tokenCount;
using Internal::toMs;

void PrefillQueue::setPace(const PrefillPace &pace, Base::MonoTime now)
{
    advance(now);
    m_pace = pace;
}

void PrefillQueue::requestSent(std::uint64_t request, Base::Tokens uncached, Base::MonoTime now)
{
    requestEnded(request);
    append(request, uncached, now);
    m_prompts.back().dueAt = now + queuedTime(now, m_pace.slowdown) + m_options.maxFirstEventDelay;
}

void PrefillQueue::firstEventReceived(std::uint64_t request, Base::MonoTime now)
{
    advance(now);
    const auto prompt = find(request);
    if (prompt == m_prompts.end())
        return;
    m_firstEventAt = now;
    m_progress = std::max(m_progress, prompt->end);
    m_prompts.erase(m_prompts.begin(), prompt + 1);
}

void PrefillQueue::requestEnded(std::uint64_t request)
{
    if (const auto prompt = find(request); prompt != m_prompts.end())
        remove(prompt);
}

void PrefillQueue::peerPromptAnnounced(Base::Tokens uncached, Base::MonoTime now)
{
    append(std::nullopt, uncached, now);
}

Base::Duration PrefillQueue::queuedTime(Base::MonoTime now, double slowdown) const
{
    const Position done = progress(now, slowdown);
    double tokens = std::max(0.0, m_end - done);
    for (const Prompt &prompt : m_prompts) {
        if (now - prompt.sentAt < m_options.peerLifetime)
            break;
        if (isExpired(prompt, now))
            tokens -= remainingTokens(prompt, done);
    }
    const double ms = std::max(0.0, tokens) * slowdown / m_pace.tokensPerMs;
    return Base::fromSeconds(std::min(ms / 1000, 1e6));
}

Base::Duration PrefillQueue::waitTime(Base::MonoTime now, double slowdown) const
{
    return queuedTime(now, slowdown) + overdueTime(now);
}

void PrefillQueue::append(std::optional<std::uint64_t> request, Base::Tokens uncached,
                          Base::MonoTime now)
{
    advance(now);
    const double tokens = tokenCount(uncached);
    m_end += tokens;
    m_prompts.push_back({.request = request, .tokens = tokens, .end = m_end, .sentAt = now});
}

PrefillQueue::Prompts::iterator PrefillQueue::find(std::uint64_t request)
{
    return std::ranges::find(m_prompts, std::optional(request), &Prompt::request);
}

const PrefillQueue::Prompt *PrefillQueue::oldest() const
{
    const auto prompt = std::ranges::find_if(
        m_prompts, [](const Prompt &prompt) { return prompt.request.has_value(); });
    return prompt == m_prompts.end() ? nullptr : &*prompt;
}

PrefillQueue::Position PrefillQueue::progress(Base::MonoTime now, double slowdown) const
{
    const double speed = m_pace.tokensPerMs / slowdown;
    Position limit = m_end;
    if (const Prompt *prompt = oldest())
        limit = std::min(limit, prompt->end + speed * toMs(m_options.maxFirstEventDelay));
    const double elapsedMs = std::max(0.0, toMs(now - m_updatedAt));
    return std::max(m_progress, std::min(limit, m_progress + speed * elapsedMs));
}

Base::Duration PrefillQueue::overdueTime(Base::MonoTime now) const
{
    const Prompt *prompt = oldest();
    if (!prompt)
        return {};
    const Base::MonoTime dueAt =
        std::max(prompt->dueAt, m_firstEventAt + m_options.maxFirstEventDelay);
    return std::max(Base::Duration(0), now - dueAt);
}

void PrefillQueue::advance(Base::MonoTime now)
{
    m_progress = progress(now, m_pace.slowdown);
    m_updatedAt = std::max(m_updatedAt, now);
    removeOldPeerPrompts(now);
}

double PrefillQueue::remainingTokens(const Prompt &prompt, Position progress)
{
    return std::clamp(prompt.end - progress, 0.0, prompt.tokens);
}

PrefillQueue::Prompts::iterator PrefillQueue::remove(const Prompts::iterator &prompt)
{
    const double remaining = remainingTokens(*prompt, m_progress);
    const auto next = m_prompts.erase(prompt);
    std::for_each(next, m_prompts.end(), [&](Prompt &later) { later.end -= remaining; });
    m_end -= remaining;
    return next;
}

bool PrefillQueue::isExpired(const Prompt &prompt, Base::MonoTime now) const
{
    return !prompt.request && now - prompt.sentAt >= m_options.peerLifetime;
}

void PrefillQueue::removeOldPeerPrompts(Base::MonoTime now)
{
    for (auto prompt = m_prompts.begin(); prompt != m_prompts.end();) {
        const bool isDone = !prompt->request && prompt->end <= m_progress;
        if (isDone || isExpired(*prompt, now))
            prompt = remove(prompt);
        else if (prompt->end > m_progress && now - prompt->sentAt < m_options.peerLifetime)
            break;
        else
            ++prompt;
    }
}

} // namespace Lagoonbank::Capacity
