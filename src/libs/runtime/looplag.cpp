#include "runtime/looplag.h"

#include <ctime>

#include <algorithm>
#include <utility>

namespace Lagoonbank::Runtime {

namespace {

constexpr Base::Duration sampleInterval = std::chrono::seconds(1);
/// Waits are known to a millisecond; a shorter one may be none.
constexpr Base::Duration leastWait = std::chrono::milliseconds(2);

Base::Duration threadProcessorTime()
{
    timespec time{};
    if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time) != 0)
        return {};
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

void add(LoopLag::Figures &sum, const LoopLag::Figures &more)
{
    sum.wall += more.wall;
    sum.wanted += more.wanted;
    sum.processor += more.processor;
    sum.longestTurn = std::max(sum.longestTurn, more.longestTurn);
    sum.mostBehind = std::max(sum.mostBehind, more.mostBehind);
    sum.turns += more.turns;
}

} // namespace

double LoopLag::Figures::givenShare() const
{
    if (wanted <= Base::Duration::zero())
        return 1;
    return std::min(1.0, Base::toSeconds(processor) / Base::toSeconds(wanted));
}

LoopLag::LoopLag(Options options)
    : m_options(std::move(options))
    , m_beganAt(m_options.clock->now())
    , m_lookedAt(m_beganAt)
    , m_lookedBefore(m_beganAt)
    , m_sampledAt(m_beganAt)
{
    if (!m_options.processorTime)
        m_options.processorTime = threadProcessorTime;
    m_processorAtSample = m_options.processorTime();
}

Base::Duration LoopLag::behind() const
{
    return std::max({sinceLookBefore(), m_waitedInTurn, m_waitedBefore});
}

Base::Duration LoopLag::sinceLookBefore() const
{
    const Base::MonoTime now = m_options.clock->now();
    if (!m_isPolling)
        return now - oldestSince(m_lookedAt, m_hasWaited);
    const Base::Duration waited =
        m_mayWait && m_options.waited ? m_options.waited() : Base::Duration::zero();
    return now - oldestSince(std::min(m_beganAt + waited, now), waited >= leastWait);
}

/// Before a poll that has waited there was nothing to do.
Base::MonoTime LoopLag::oldestSince(Base::MonoTime looked, bool hasWaited) const
{
    return hasWaited ? looked : m_lookedBefore;
}

void LoopLag::noteWaited(Base::Duration waited)
{
    m_waitedInTurn = std::max(m_waitedInTurn, waited);
}

void LoopLag::pollBegins(bool mayWait)
{
    m_beganAt = m_options.clock->now();
    m_lookedBefore = m_lookedAt;
    m_isPolling = true;
    m_mayWait = mayWait;
}

void LoopLag::pollEnded(Base::Duration waited)
{
    const Base::MonoTime now = m_options.clock->now();
    m_isPolling = false;
    m_lookedAt = std::clamp(m_beganAt + waited, m_beganAt, now);
    m_hasWaited = waited >= leastWait;
    m_mostInTurn = std::max(m_mostInTurn, now - oldestSince(m_lookedAt, m_hasWaited));
    m_turn += now - m_lookedAt;
}

void LoopLag::turnEnded()
{
    const Base::MonoTime now = m_options.clock->now();
    const Base::Duration turn = std::exchange(m_turn, {});
    m_waitedBefore = std::exchange(m_waitedInTurn, {});
    const Base::Duration most = std::max(std::exchange(m_mostInTurn, {}), m_waitedBefore);
    add(m_second, {.wanted = turn, .longestTurn = turn, .mostBehind = most, .turns = 1});
    if (turned)
        turned(turn);
    judge(now, most);
    if (now - m_sampledAt >= sampleInterval)
        sample(now);
}

void LoopLag::sample(Base::MonoTime now)
{
    const Base::Duration processor = m_options.processorTime();
    m_second.wall = now - std::exchange(m_sampledAt, now);
    // Systems that count waits as processor time too tell more than was wanted.
    m_second.processor = std::min(processor - m_processorAtSample, m_second.wanted);
    m_processorAtSample = processor;
    const Figures second = std::exchange(m_second, {});
    if (m_isBehind)
        add(m_spell, second);
    if (sampled)
        sampled(second);
}

void LoopLag::judge(Base::MonoTime now, Base::Duration most)
{
    if (most >= m_options.caughtUpAt)
        m_calmSince = now;
    if (!m_isBehind && most >= m_options.behindAt) {
        m_isBehind = true;
        m_spell = {};
        // What came before belongs to the figures too: it led there.
        sample(now);
        if (fellBehind)
            fellBehind(m_spell);
    } else if (m_isBehind && now - m_calmSince >= m_options.calmTime) {
        sample(now);
        m_isBehind = false;
        if (caughtUp)
            caughtUp(m_spell);
    }
}

} // namespace Lagoonbank::Runtime
