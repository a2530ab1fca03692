#include "routing/suspicion.h"

#include <algorithm>

namespace Lagoonbank::Routing {

namespace {

constexpr std::uint8_t maximumLevel = 16;

} // namespace

void Suspicion::resize(std::size_t size)
{
    if (size > m_rows.size())
        m_rows.resize(size);
}

void Suspicion::noteResult(EndpointIndex endpoint, ExchangeResult result, Base::MonoTime now)
{
    Row &row = m_rows[endpoint];
    switch (result) {
    case ExchangeResult::Answered:
        noteAnswer(row, now);
        return;
    case ExchangeResult::Broke:
        noteFailure(row, m_options.breaksToSuspect, now);
        return;
    case ExchangeResult::Unreachable:
        noteFailure(row, m_options.unreachableToSuspect, now);
        return;
    }
}

void Suspicion::noteTrialSent(EndpointIndex endpoint, Base::MonoTime now)
{
    Row &row = m_rows[endpoint];
    row.state = State::OnTrial;
    row.trialInFlight = true;
    row.trialSentAt = now;
}

void Suspicion::noteTrialCancelled(EndpointIndex endpoint)
{
    m_rows[endpoint].trialInFlight = false;
}

void Suspicion::suspect(EndpointIndex endpoint, Base::MonoTime now)
{
    Row &row = m_rows[endpoint];
    if (row.state != State::Suspected)
        enterSuspected(row, now);
}

bool Suspicion::admitsTrial(EndpointIndex endpoint, Base::MonoTime now) const
{
    const Row &row = m_rows[endpoint];
    if (row.state == State::Healthy || now < row.backoffUntil)
        return false;
    return !row.trialInFlight || now - row.trialSentAt >= m_options.trialTimeout;
}

void Suspicion::noteFailure(Row &row, int failuresToSuspect, Base::MonoTime now)
{
    switch (row.state) {
    case State::Suspected:
        return; // The request was sent before the endpoint was suspected; no new evidence.
    case State::OnTrial:
        enterSuspected(row, now);
        return;
    case State::Healthy:
        ++row.failures;
        if (row.failures >= failuresToSuspect)
            enterSuspected(row, now);
        return;
    }
}

void Suspicion::noteAnswer(Row &row, Base::MonoTime now)
{
    row.failures = 0;
    if (row.state != State::OnTrial)
        return; // While suspected, an answer to an old request is weak evidence; only trials count.
    row.trialInFlight = false;
    ++row.successes;
    if (row.successes < m_options.trialsToRecover)
        return;
    row.state = State::Healthy;
    row.successes = 0;
    row.healthySince = now;
}

void Suspicion::enterSuspected(Row &row, Base::MonoTime now)
{
    const bool first = row.backoffLevel == 0;
    const bool wasStable =
        row.state == State::Healthy && now - row.healthySince >= m_options.backoffResetAfter;
    if (first || wasStable)
        row.backoffLevel = 1;
    else
        row.backoffLevel = std::min<std::uint8_t>(row.backoffLevel + 1, maximumLevel);
    const Base::Duration backoff =
        m_options.initialBackoff * (std::int64_t{1} << (row.backoffLevel - 1));
    row.suspectedSince = now;
    row.backoffUntil = now + std::min(backoff, m_options.maximumBackoff);
    row.state = State::Suspected;
    row.failures = 0;
    row.successes = 0;
    row.trialInFlight = false;
}

} // namespace Lagoonbank::Routing
