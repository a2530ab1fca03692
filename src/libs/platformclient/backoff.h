#pragma once

#include "base/units.h"

#include <cstdint>
#include <random>

namespace Lagoonbank::PlatformClient {

/// Exponential backoff between retries. The upper half of each delay is random, so that processes
/// do not retry at the same time.
class Backoff
{
public:
    struct Options
    {
        Base::Duration initial = std::chrono::milliseconds(50);
        Base::Duration max = std::chrono::seconds(2);
        std::uint64_t seed = 1; ///< Must differ between processes.
    };

    explicit Backoff(const Options &options);

    /// Returns the delay before the next retry and doubles the maximum for the one after it.
    Base::Duration next();
    /// Starts again with the initial delay; call after a success.
    void reset() { m_maxDelay = m_options.initial; }

private:
    Options m_options;
    Base::Duration m_maxDelay;
    std::minstd_rand m_random;
};

} // namespace Lagoonbank::PlatformClient
