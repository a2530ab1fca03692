#pragma once

#include "base/units.h"

#include <cstdint>
#include <random>

namespace Lagoonbank::PlatformClient {

/// Delays between tries: doubled after each failure up to a limit, with the upper half random so
/// that many processes do not try in step.
class Backoff
{
public:
    struct Options
    {
        Base::Duration initial = std::chrono::milliseconds(50);
        Base::Duration max = std::chrono::seconds(2);
        std::uint64_t seed = 1; ///< Different in each process.
    };

    explicit Backoff(const Options &options);

    /// The delay before the next try after one more failure.
    Base::Duration next();
    /// After a success.
    void reset() { m_ceiling = m_options.initial; }

private:
    Options m_options;
    Base::Duration m_ceiling;
    std::minstd_rand m_random;
};

} // namespace Lagoonbank::PlatformClient
