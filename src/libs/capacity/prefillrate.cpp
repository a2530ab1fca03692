#include "capacity/prefillrate.h"

#include "capacity/conversions.h"

#include <algorithm>

namespace Lagoonbank::Capacity {

using Internal::tokenCount;
using Internal::toMs;

void PrefillRate::firstEventObserved(Base::Tokens uncached, Base::Duration elapsed, double slowdown)
{
    const double length = tokenCount(uncached);
    const double predicted = length / m_tokensPerMs + toMs(m_constantTime);
    const double longest =
        m_options.maxExcess * length / m_tokensPerMs + toMs(m_options.maxConstantTime);
    const double time = std::clamp(toMs(elapsed) / slowdown, 0.0, longest);
    const double weight = time > predicted ? m_options.longerWeight : 1;
    for (double *sum : {&m_count, &m_lengths, &m_times, &m_squaredLengths, &m_lengthsTimesTimes})
        *sum *= 1 - (1 - m_options.decay) * weight;
    m_count += weight;
    m_lengths += weight * length;
    m_times += weight * time;
    m_squaredLengths += weight * length * length;
    m_lengthsTimesTimes += weight * length * time;
    computeRate();
    computeConstantTime();
}

Base::Duration PrefillRate::prefillTime(Base::Tokens uncached, double slowdown) const
{
    return Base::fromSeconds(tokenCount(uncached) * slowdown / m_tokensPerMs / 1000);
}

void PrefillRate::computeRate()
{
    const double priorVariance =
        m_options.initialWeight * m_options.initialDeviation * m_options.initialDeviation;
    const double variance = std::max(0.0, m_squaredLengths - m_lengths * m_lengths / m_count);
    const double covariance = m_lengthsTimesTimes - m_lengths * m_times / m_count;
    const double msPerToken =
        (covariance + priorVariance / m_options.initialTokensPerMs) / (variance + priorVariance);
    m_tokensPerMs =
        std::max(1 / std::max(msPerToken, 1 / m_options.maxTokensPerMs), m_options.minTokensPerMs);
}

void PrefillRate::computeConstantTime()
{
    const double ms = (m_times - m_lengths / m_tokensPerMs) / m_count;
    m_constantTime =
        std::clamp(Base::fromSeconds(ms / 1000), Base::Duration(0), m_options.maxConstantTime);
}

} // namespace Lagoonbank::Capacity
