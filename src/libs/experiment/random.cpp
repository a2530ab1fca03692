#include "experiment/random.h"

#include <algorithm>
#include <cmath>

namespace Lagoonbank::Experiment {

double Random::uniform()
{
    constexpr int mantissaBits = 53;
    return std::ldexp(static_cast<double>(m_engine() >> (64 - mantissaBits)), -mantissaBits);
}

double Random::exponential(double mean)
{
    return -mean * std::log1p(-uniform());
}

double Random::draw(const Distribution &distribution)
{
    const double above = std::max(distribution.mean - distribution.min, 0.0);
    return std::min(distribution.min + exponential(above), distribution.max);
}

int Random::drawCount(const Distribution &distribution, int minimum)
{
    return std::max(static_cast<int>(std::lround(draw(distribution))), minimum);
}

} // namespace Lagoonbank::Experiment
