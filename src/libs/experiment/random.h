#pragma once

#include "experiment/definition.h"

#include <cstdint>
#include <random>

namespace Lagoonbank::Experiment {

/// Random numbers that depend only on the seed and are the same on every machine.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    { }

    std::uint64_t bits() { return m_engine(); }
    /// Uniformly distributed in [0, 1).
    double uniform();
    /// Exponentially distributed with \a mean.
    double exponential(double mean);
    double draw(const Distribution &distribution);
    /// Rounds a number drawn from \a distribution to an integer of at least \a minimum.
    int drawCount(const Distribution &distribution, int minimum);

private:
    std::mt19937_64 m_engine;
};

} // namespace Lagoonbank::Experiment
