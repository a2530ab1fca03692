#include "capacity/kvcachebudget.h"

#include <algorithm>

namespace Lagoonbank::Capacity {

void KvCacheBudget::requestSent(const RequestSize &size)
{
    ++m_requestCount;
    m_own += size.own;
    if (size.shared <= Base::Tokens())
        return;
    SharedPrompt &prompt = m_prompts[size.prompt];
    ++prompt.requests;
    if (size.shared > prompt.tokens) {
        m_shared += size.shared - prompt.tokens;
        prompt.tokens = size.shared;
    }
}

void KvCacheBudget::requestEnded(const RequestSize &size)
{
    m_requestCount = std::max(0, m_requestCount - 1);
    m_own = std::max(Base::Tokens(), m_own - size.own);
    const auto prompt = m_prompts.find(size.prompt);
    if (size.shared <= Base::Tokens() || prompt == m_prompts.end())
        return;
    if (--prompt->second.requests > 0)
        return;
    m_shared -= prompt->second.tokens;
    m_prompts.erase(prompt);
}

double KvCacheBudget::usedTokens(double othersRequests, double meanTokens) const
{
    return static_cast<double>((m_own + m_shared).value())
        + std::max(0.0, othersRequests) * std::max(0.0, meanTokens);
}

bool KvCacheBudget::admits(const RequestSize &size, Base::Tokens memory, double othersRequests,
                           double meanTokens) const
{
    const bool isFree = m_requestCount == 0 && othersRequests < m_options.negligibleRequests;
    if (isFree)
        return size.total() <= memory;
    return excessTokens(size, memory, othersRequests, meanTokens) <= 0;
}

double KvCacheBudget::excessTokens(const RequestSize &size, Base::Tokens memory,
                                   double othersRequests, double meanTokens) const
{
    const double usable = static_cast<double>(memory.value()) * (1 - m_options.safetyMargin);
    return usedTokens(othersRequests, meanTokens) + static_cast<double>(addedTokens(size).value())
        - usable;
}

Base::Tokens KvCacheBudget::addedTokens(const RequestSize &size) const
{
    const auto prompt = m_prompts.find(size.prompt);
    const Base::Tokens present = prompt == m_prompts.end() ? Base::Tokens() : prompt->second.tokens;
    return size.own + std::max(Base::Tokens(), size.shared - present);
}

} // namespace Lagoonbank::Capacity
