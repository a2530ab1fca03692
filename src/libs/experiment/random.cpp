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

double Random::draw(const Spread &spread)
{
    const double above = std::max(spread.mean - spread.min, 0.0);
    return std::min(spread.min + exponential(above), spread.max);
}

int Random::drawCount(const Spread &spread, int least)
{
    return std::max(static_cast<int>(std::lround(draw(spread))), least);
}

} // namespace Lagoonbank::Experiment
