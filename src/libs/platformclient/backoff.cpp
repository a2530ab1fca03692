#include "platformclient/backoff.h"

#include <algorithm>

namespace Lagoonbank::PlatformClient {

Backoff::Backoff(const Options &options)
    : m_options(options)
    , m_ceiling(options.initial)
    , m_random(static_cast<std::uint32_t>(options.seed ^ (options.seed >> 32U)))
{ }

Base::Duration Backoff::next()
{
    const Base::Duration half = m_ceiling / 2;
    std::uniform_int_distribution<Base::Duration::rep> part(0, half.count());
    m_ceiling = std::min(m_ceiling * 2, m_options.max);
    return half + Base::Duration(part(m_random));
}

} // namespace Lagoonbank::PlatformClient
