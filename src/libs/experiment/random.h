#pragma once

#include "experiment/definition.h"

#include <cstdint>
#include <random>

namespace Lagoonbank::Experiment {

/// Draws that are the same on every machine for one seed.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    { }

    std::uint64_t bits() { return m_engine(); }
    /// From 0 up to but without 1.
    double uniform();
    /// Exponential with the given mean.
    double exponential(double mean);
    double draw(const Spread &spread);
    /// A whole number of at least \a least.
    int drawCount(const Spread &spread, int least);

private:
    std::mt19937_64 m_engine;
};

} // namespace Lagoonbank::Experiment
