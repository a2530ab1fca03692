#include "runtime/looplag.h"

#include <ctime>

#include <algorithm>
#include <utility>

namespace Lagoonbank::Runtime {

namespace {

constexpr Base::Duration sampleInterval = std::chrono::seconds(1);
/// Waits are only known to the millisecond; shorter ones are treated as no wait.
constexpr Base::Duration minMeasurableWait = std::chrono::milliseconds(2);

Base::Duration threadProcessorTime()
{
    timespec time{};
    if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time) != 0)
        return {};
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

void add(LoopLag::Statistics &sum, const LoopLag::Statistics &other)
{
    sum.elapsed += other.elapsed;
    sum.busyTime += other.busyTime;
    sum.processorTime += other.processorTime;
    sum.longestIteration = std::max(sum.longestIteration, other.longestIteration);
    sum.maxLag = std::max(sum.maxLag, other.maxLag);
    sum.iterations += other.iterations;
}

} // namespace

double LoopLag::Statistics::processorShare() const
{
    if (busyTime <= Base::Duration::zero())
        return 1;
    return std::min(1.0, Base::toSeconds(processorTime) / Base::toSeconds(busyTime));
}

LoopLag::LoopLag(Options options)
    : m_options(std::move(options))
    , m_pollStart(m_options.clock->now())
    , m_waitEnd(m_pollStart)
    , m_previousWaitEnd(m_pollStart)
    , m_lastSampleTime(m_pollStart)
{
    if (!m_options.processorTime)
        m_options.processorTime = threadProcessorTime;
    m_processorTimeAtLastSample = m_options.processorTime();
}

Base::Duration LoopLag::current() const
{
    return std::max({maxPolledEventAge(), m_maxDeferredAge, m_previousMaxDeferredAge});
}

Base::Duration LoopLag::maxPolledEventAge() const
{
    const Base::MonoTime now = m_options.clock->now();
    if (!m_isPolling)
        return now - earliestEventTime(m_waitEnd, m_hasWaited);
    const Base::Duration waited =
        m_mayWait && m_options.pollWait ? m_options.pollWait() : Base::Duration::zero();
    return now
        - earliestEventTime(std::min(m_pollStart + waited, now), waited >= minMeasurableWait);
}

/// A poll only waits if nothing was ready before.
Base::MonoTime LoopLag::earliestEventTime(Base::MonoTime waitEnd, bool hasWaited) const
{
    return hasWaited ? waitEnd : m_previousWaitEnd;
}

void LoopLag::noteDeferredWork(Base::Duration age)
{
    m_maxDeferredAge = std::max(m_maxDeferredAge, age);
}

void LoopLag::beginPoll(bool mayWait)
{
    m_pollStart = m_options.clock->now();
    m_previousWaitEnd = m_waitEnd;
    m_isPolling = true;
    m_mayWait = mayWait;
}

void LoopLag::endPoll(Base::Duration waited)
{
    const Base::MonoTime now = m_options.clock->now();
    m_isPolling = false;
    m_waitEnd = std::clamp(m_pollStart + waited, m_pollStart, now);
    m_hasWaited = waited >= minMeasurableWait;
    m_maxEventAge = std::max(m_maxEventAge, now - earliestEventTime(m_waitEnd, m_hasWaited));
    m_busyTime += now - m_waitEnd;
}

void LoopLag::endIteration()
{
    const Base::MonoTime now = m_options.clock->now();
    const Base::Duration duration = std::exchange(m_busyTime, {});
    m_previousMaxDeferredAge = std::exchange(m_maxDeferredAge, {});
    const Base::Duration lag = std::max(std::exchange(m_maxEventAge, {}), m_previousMaxDeferredAge);
    add(m_sample,
        {.busyTime = duration, .longestIteration = duration, .maxLag = lag, .iterations = 1});
    if (iterationFinished)
        iterationFinished(duration);
    updateLagState(now, lag);
    if (now - m_lastSampleTime >= sampleInterval)
        sample(now);
}

void LoopLag::sample(Base::MonoTime now)
{
    const Base::Duration processorTime = m_options.processorTime();
    m_sample.elapsed = now - std::exchange(m_lastSampleTime, now);
    // Some systems count waiting as processor time too and report more than the busy time.
    m_sample.processorTime =
        std::min(processorTime - m_processorTimeAtLastSample, m_sample.busyTime);
    m_processorTimeAtLastSample = processorTime;
    const Statistics statistics = std::exchange(m_sample, {});
    if (m_isLagging)
        add(m_sinceLagStart, statistics);
    if (sampled)
        sampled(statistics);
}

void LoopLag::updateLagState(Base::MonoTime now, Base::Duration lag)
{
    if (lag >= m_options.endThreshold)
        m_lastOverEndThreshold = now;
    if (!m_isLagging && lag >= m_options.startThreshold) {
        m_isLagging = true;
        m_sinceLagStart = {};
        // The period before belongs to the statistics too: it led to the lag.
        sample(now);
        if (lagStarted)
            lagStarted(m_sinceLagStart);
    } else if (m_isLagging && now - m_lastOverEndThreshold >= m_options.endDelay) {
        sample(now);
        m_isLagging = false;
        if (lagEnded)
            lagEnded(m_sinceLagStart);
    }
}

} // namespace Lagoonbank::Runtime
