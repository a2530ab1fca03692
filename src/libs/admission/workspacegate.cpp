#include "admission/workspacegate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Lagoonbank::Admission {

using Base::Duration;
using Base::MonoTime;
using Base::Tokens;
using Errors::ErrorKind;

namespace {

constexpr double demandWindowSeconds = 2;
constexpr double slotTolerance = 1e-9; // keeps rounding errors of the share from adding a slot
constexpr double slotTimeSmoothing = 0.1;
constexpr Duration minSlotWait = std::chrono::milliseconds(10);

Gcra::Options requestOptions(const WorkspaceLimits &limits, double share)
{
    if (!limits.requestsPerSecond)
        return {};
    const double rate = limits.requestsPerSecond->value;
    const double burst = limits.requestBurst ? limits.requestBurst->value : rate;
    return {.rate = rate * share, .burst = std::max(1.0, burst * share)};
}

Gcra::Options tokenOptions(const WorkspaceLimits &limits, double share)
{
    if (!limits.tokensPerSecond)
        return {};
    const double rate = limits.tokensPerSecond->value;
    const double burst = limits.tokenBurst ? limits.tokenBurst->value : rate;
    // The debt is not divided by the share: a long prompt is charged in full on a single router.
    const double debt = limits.tokenDebt ? limits.tokenDebt->value : 0;
    return {.rate = rate * share, .burst = burst * share, .debt = debt + burst * (1 - share)};
}

} // namespace

Ticket::Ticket(std::weak_ptr<WorkspaceGate> gate, Tokens estimate, MonoTime admitted)
    : m_gate(std::move(gate))
    , m_estimate(estimate)
    , m_admittedAt(admitted)
    , m_held(true)
{ }

Ticket::Ticket(Ticket &&other) noexcept
    : m_gate(std::move(other.m_gate))
    , m_estimate(other.m_estimate)
    , m_admittedAt(other.m_admittedAt)
    , m_held(std::exchange(other.m_held, false))
{ }

Ticket &Ticket::operator=(Ticket &&other) noexcept
{
    if (this == &other)
        return *this;
    drop();
    m_gate = std::move(other.m_gate);
    m_estimate = other.m_estimate;
    m_admittedAt = other.m_admittedAt;
    m_held = std::exchange(other.m_held, false);
    return *this;
}

Ticket::~Ticket()
{
    drop();
}

void Ticket::settle(Tokens actual, MonoTime now)
{
    const std::shared_ptr<WorkspaceGate> gate = m_held ? m_gate.lock() : nullptr;
    if (gate) {
        gate->chargeTokens(static_cast<double>((actual - m_estimate).value()), now);
        gate->recordSlotTime(now - m_admittedAt);
    }
    drop();
}

void Ticket::refund(MonoTime now)
{
    const std::shared_ptr<WorkspaceGate> gate = m_held ? m_gate.lock() : nullptr;
    if (gate)
        gate->refundCharges(m_estimate, now);
    drop();
}

void Ticket::drop()
{
    if (!std::exchange(m_held, false))
        return;
    if (const std::shared_ptr<WorkspaceGate> gate = m_gate.lock())
        gate->releaseSlot(m_admittedAt);
}

WorkspaceGate::WorkspaceGate(WorkspaceLimits limits, MonoTime now)
    : m_limits(std::move(limits))
    , m_origin(now)
    , m_lastArrival(now)
{
    applyShare(now);
}

void WorkspaceGate::setLimits(WorkspaceLimits limits, MonoTime now)
{
    m_limits = std::move(limits);
    applyShare(now);
}

void WorkspaceGate::setShare(double share, MonoTime now)
{
    const double newShare = std::clamp(share, 0.0, 1.0);
    if (newShare == m_share)
        return;
    m_share = newShare;
    applyShare(now);
}

void WorkspaceGate::applyShare(MonoTime now)
{
    m_requestLimiter.setOptions(requestOptions(m_limits, m_share), now);
    m_tokenLimiter.setOptions(tokenOptions(m_limits, m_share), now);
}

AdmitResult WorkspaceGate::admit(const Call &call, MonoTime now)
{
    if (auto refusal = checkService(call))
        return std::move(*refusal);

    Admitted admitted;
    if (auto refusal = choosePriority(call, admitted))
        return std::move(*refusal);
    if (auto refusal = chooseDeadline(call, now, admitted))
        return std::move(*refusal);

    recordArrival(call, now);
    if (auto refusal = checkConcurrency(now))
        return std::move(*refusal);
    if (auto refusal = checkRequests(now))
        return std::move(*refusal);
    if (auto refusal = checkTokens(call, now))
        return std::move(*refusal);

    m_requestLimiter.charge(1, now);
    chargeTokens(static_cast<double>(call.estimatedTokens.value()), now);
    ++m_running;
    m_startSum += now - m_origin;
    admitted.ticket = Ticket(weak_from_this(), call.estimatedTokens, now);
    return admitted;
}

int WorkspaceGate::slots() const
{
    if (!m_limits.concurrency)
        return 0;
    return static_cast<int>(std::ceil(m_limits.concurrency->value * m_share - slotTolerance));
}

std::optional<Refusal> WorkspaceGate::checkService(const Call &call) const
{
    if (call.service.empty() || !m_limits.services)
        return std::nullopt;
    const std::vector<std::string> &allowed = m_limits.services->value;
    if (std::find(allowed.begin(), allowed.end(), call.service) != allowed.end())
        return std::nullopt;
    return Refusal{ErrorKind::ServiceNotAllowed, "services", m_limits.services->source, {}};
}

std::optional<Refusal> WorkspaceGate::choosePriority(const Call &call, Admitted &admitted) const
{
    admitted.priority = call.priority.empty() ? m_limits.defaultPriority : call.priority;
    const std::vector<PriorityRule> &rules = m_limits.priorities;
    if (rules.empty())
        return std::nullopt;
    const auto rule = std::find_if(rules.begin(), rules.end(), [&](const PriorityRule &candidate) {
        return candidate.name == admitted.priority;
    });
    if (rule == rules.end())
        return Refusal{ErrorKind::PriorityNotAllowed, "priorities", rules.front().source, {}};
    admitted.priorityLevel = rule->level;
    return std::nullopt;
}

std::optional<Refusal> WorkspaceGate::chooseDeadline(const Call &call, MonoTime now,
                                                     Admitted &admitted) const
{
    std::optional<Duration> deadline = call.deadline;
    if (!deadline && m_limits.defaultDeadline)
        deadline = m_limits.defaultDeadline->value;
    if (const auto &maximum = m_limits.maxDeadline)
        deadline = std::min(deadline.value_or(maximum->value), maximum->value);
    if (!deadline)
        return std::nullopt;
    if (*deadline <= Duration::zero())
        return Refusal{ErrorKind::DeadlineTooShort, "deadline", {}, {}};
    admitted.deadline = now + *deadline;
    return std::nullopt;
}

std::optional<Refusal> WorkspaceGate::checkConcurrency(MonoTime now) const
{
    if (!m_limits.concurrency || m_running < slots())
        return std::nullopt;
    return Refusal{ErrorKind::ConcurrencyLimited, "concurrency", m_limits.concurrency->source,
                   estimatedSlotWait(now)};
}

std::optional<Refusal> WorkspaceGate::checkRequests(MonoTime now) const
{
    if (!m_limits.requestsPerSecond)
        return std::nullopt;
    const std::optional<Duration> wait = m_requestLimiter.waitFor(1, now);
    if (wait && *wait == Duration::zero())
        return std::nullopt;
    return Refusal{ErrorKind::RateLimited, "requests_per_second",
                   m_limits.requestsPerSecond->source, wait.value_or(Duration::zero())};
}

std::optional<Refusal> WorkspaceGate::checkTokens(const Call &call, MonoTime now) const
{
    if (!m_limits.tokensPerSecond || call.estimatedTokens.value() <= 0)
        return std::nullopt;
    const std::optional<Duration> wait =
        m_tokenLimiter.waitFor(static_cast<double>(call.estimatedTokens.value()), now);
    if (wait && *wait == Duration::zero())
        return std::nullopt;
    return Refusal{ErrorKind::TokenRateLimited, "tokens_per_second",
                   m_limits.tokensPerSecond->source, wait.value_or(Duration::zero())};
}

// Slots become free at the rate running / mean slot time. Until the first call has ended, the mean
// age of the running calls is used in place of the mean slot time.
Duration WorkspaceGate::estimatedSlotWait(MonoTime now) const
{
    if (m_running == 0)
        return Duration::zero();
    const Duration meanAge = (now - m_origin) - m_startSum / m_running;
    const double slotSeconds = m_meanSlotSeconds > 0 ? m_meanSlotSeconds : Base::toSeconds(meanAge);
    return std::max(minSlotWait, Base::fromSeconds(slotSeconds / m_running));
}

void WorkspaceGate::releaseSlot(MonoTime admitted)
{
    --m_running;
    m_startSum -= admitted - m_origin;
}

void WorkspaceGate::recordSlotTime(Duration slotTime)
{
    const double seconds = Base::toSeconds(slotTime);
    m_meanSlotSeconds = m_meanSlotSeconds > 0
        ? m_meanSlotSeconds + slotTimeSmoothing * (seconds - m_meanSlotSeconds)
        : seconds;
}

void WorkspaceGate::refundCharges(Tokens estimate, MonoTime now)
{
    if (m_limits.requestsPerSecond)
        m_requestLimiter.charge(-1, now);
    chargeTokens(-static_cast<double>(estimate.value()), now);
}

void WorkspaceGate::chargeTokens(double tokens, MonoTime now)
{
    if (m_limits.tokensPerSecond)
        m_tokenLimiter.charge(tokens, now);
}

double WorkspaceGate::decayedRate(double rate, MonoTime now) const
{
    return rate * std::exp(-Base::toSeconds(now - m_lastArrival) / demandWindowSeconds);
}

void WorkspaceGate::recordArrival(const Call &call, MonoTime now)
{
    m_requestRate = decayedRate(m_requestRate, now) + 1 / demandWindowSeconds;
    m_tokenRate = decayedRate(m_tokenRate, now)
        + static_cast<double>(call.estimatedTokens.value()) / demandWindowSeconds;
    m_peakSlots = std::max(decayedRate(m_peakSlots, now), m_running + 1.0);
    m_lastArrival = now;
}

Demand WorkspaceGate::demand(MonoTime now) const
{
    return {.requestsPerSecond = decayedRate(m_requestRate, now),
            .tokensPerSecond = decayedRate(m_tokenRate, now),
            .concurrency = std::max(decayedRate(m_peakSlots, now), static_cast<double>(m_running))};
}

double WorkspaceGate::demandedShare(MonoTime now) const
{
    const Demand current = demand(now);
    double share = 0;
    if (m_limits.requestsPerSecond && m_limits.requestsPerSecond->value > 0)
        share = std::max(share, current.requestsPerSecond / m_limits.requestsPerSecond->value);
    if (m_limits.tokensPerSecond && m_limits.tokensPerSecond->value > 0)
        share = std::max(share, current.tokensPerSecond / m_limits.tokensPerSecond->value);
    if (m_limits.concurrency && m_limits.concurrency->value > 0)
        share = std::max(share, current.concurrency / m_limits.concurrency->value);
    return share;
}

} // namespace Lagoonbank::Admission
