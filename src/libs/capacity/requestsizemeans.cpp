#include "capacity/requestsizemeans.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Capacity {

RequestSizeMeans::RequestSizeMeans(const Options &options)
    : m_options(options)
    , m_shared{.value = static_cast<double>(options.initialShared.value())}
    , m_own{.value = static_cast<double>(options.initialOwn.value())}
{ }

void RequestSizeMeans::record(std::uint64_t kind, const RequestSize &size)
{
    if (m_ownByKind.contains(kind) || m_ownByKind.size() < m_options.maximumKinds) {
        // The mean of the service counts as the first request of a kind.
        const Mean initial{.value = m_own.value};
        add(m_ownByKind.try_emplace(kind, initial).first->second, size.own);
    }
    add(m_shared, size.shared);
    add(m_own, size.own);
}

double RequestSizeMeans::othersTokens(double othersRequests, Base::Tokens knownPrompts) const
{
    const double known = static_cast<double>(knownPrompts.value());
    if (known <= 0 || othersRequests <= 0)
        return m_own.value;
    // Expected total of the different prompts if each request has one of the known ones at random.
    const double declared = m_options.sharedShare * m_shared.value * othersRequests;
    const double shared = known * (1 - std::exp(-declared / known));
    return m_own.value + shared / othersRequests;
}

Base::Tokens RequestSizeMeans::ownTokens(std::uint64_t kind) const
{
    const auto found = m_ownByKind.find(kind);
    const Mean &mean = found == m_ownByKind.end() ? m_own : found->second;
    return Base::Tokens(static_cast<std::int64_t>(mean.value));
}

void RequestSizeMeans::add(Mean &mean, Base::Tokens tokens) const
{
    // The lower bound keeps a mean that has become zero from staying there.
    const double maximum = m_options.maximumFactor * std::max(1.0, mean.value);
    const double value = std::clamp(static_cast<double>(tokens.value()), 0.0, maximum);
    mean.count = std::min(mean.count + 1, 1 / m_options.weight);
    mean.value += (value - mean.value) / mean.count;
}

} // namespace Lagoonbank::Capacity
