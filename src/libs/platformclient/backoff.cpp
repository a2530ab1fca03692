#include "platformclient/backoff.h"

#include <algorithm>

namespace Lagoonbank::PlatformClient {

Backoff::Backoff(const Options &options)
    : m_options(options)
    , m_maxDelay(options.initial)
    , m_random(static_cast<std::uint32_t>(options.seed ^ (options.seed >> 32U)))
{ }

Base::Duration Backoff::next()
{
    const Base::Duration half = m_maxDelay / 2;
    std::uniform_int_distribution<Base::Duration::rep> jitter(0, half.count());
    m_maxDelay = std::min(m_maxDelay * 2, m_options.max);
    return half + Base::Duration(jitter(m_random));
}

} // namespace Lagoonbank::PlatformClient
