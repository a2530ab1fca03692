/// Engines share their machines with other workloads, whose bursts of about half a second slow all
/// work there. Reports of that change many times a second, and in a large fleet they are seconds
/// old when they are used.
#define BOOST_TEST_MODULE tst_endpointslowdown
#include <boost/test/unit_test.hpp>

#include "capacity/endpointslowdown.h"

#include <array>
#include <cmath>
#include <cstddef>
#include <cstdio>
#include <limits>
#include <random>
#include <string>
#include <vector>

using namespace Lagoonbank;
using Capacity::EndpointSlowdown;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Base::MonoTime start{std::chrono::hours(1)};

/// A moving average that decays towards 1 with the age of the last report. With a weight of 1 it is
/// the latest value with decay, with a weight of 0 it is always 1.
class DecayingAverage
{
public:
    DecayingAverage(double weight, double halfLife)
        : m_weight(weight)
        , m_halfLife(halfLife)
    { }
    void reported(double factor, double now)
    {
        const double current = this->factor(now);
        m_factor = current + m_weight * (factor - current);
        m_at = now;
    }
    double factor(double now) const
    {
        return 1 + (m_factor - 1) * std::exp2(-(now - m_at) / m_halfLife);
    }

private:
    double m_weight;
    double m_halfLife;
    double m_factor = 1;
    double m_at = 0;
};

/// The slowdown of a machine in steps of 50 ms: 1 on average between the bursts of its neighbours,
/// which start after 3 s on average, last 0.25 to 0.75 s and slow it by 1.5 to 4. Each step varies
/// by up to 30 %, as the reported figure changes many times a second.
class Machine
{
public:
    static constexpr double step = 0.05;

    explicit Machine(std::size_t steps)
    {
        while (m_factors.size() < steps) {
            std::exponential_distribution<double> gap(step / 3);
            append(static_cast<std::size_t>(gap(m_random)), 1);
            const auto length = static_cast<std::size_t>(uniform(0.25, 0.75) / step);
            append(length, uniform(1.5, 4));
        }
    }
    std::size_t steps() const { return m_factors.size(); }
    double factor(std::size_t i) const { return m_factors[i]; }
    /// Mean slowdown of a request that is sent after step \a i and takes 0.3 s.
    double slowdownOfRequest(std::size_t i) const
    {
        double sum = 0;
        for (std::size_t k = 1; k <= requestSteps; ++k)
            sum += m_factors[i + k];
        return sum / requestSteps;
    }
    static constexpr std::size_t requestSteps = 6;

private:
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }
    void append(std::size_t count, double factor)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_factors.push_back(factor * uniform(0.7, 1.3));
    }

    std::mt19937_64 m_random{7};
    std::vector<double> m_factors;
};

/// Mean time between two reports of an endpoint to a router, in seconds.
constexpr std::array reportIntervals{0.1, 0.25, 1.0, 4.0, 16.0};

/// Root mean square of the error of the expected slowdown of a request. \a reported and \a factor
/// get the time in seconds.
template<typename Reported, typename Factor>
double errorOf(double interval, Reported reported, Factor factor)
{
    static const Machine machine(1'500'000);
    std::mt19937_64 random{11};
    std::exponential_distribution<double> gap(1 / interval);
    double nextReport = gap(random);
    double sum = 0;
    const std::size_t count = machine.steps() - Machine::requestSteps;
    for (std::size_t i = 0; i < count; ++i) {
        const double now = static_cast<double>(i) * Machine::step;
        if (now >= nextReport) {
            reported(std::round(machine.factor(i) * 100) / 100, now);
            nextReport = now + gap(random);
        }
        const double error = factor(now + Machine::step / 2) - machine.slowdownOfRequest(i);
        sum += error * error;
    }
    return std::sqrt(sum / static_cast<double>(count));
}

using Errors = std::array<double, reportIntervals.size()>;

Errors errorsOfAverage(double weight, double halfLife)
{
    Errors errors{};
    for (std::size_t i = 0; i < errors.size(); ++i) {
        DecayingAverage average(weight, halfLife);
        errors[i] = errorOf(
            reportIntervals[i], [&](double value, double now) { average.reported(value, now); },
            [&](double now) { return average.factor(now); });
    }
    return errors;
}

Errors errorsOfSlowdown()
{
    Errors errors{};
    for (std::size_t i = 0; i < errors.size(); ++i) {
        EndpointSlowdown slowdown;
        errors[i] = errorOf(
            reportIntervals[i],
            [&](double value, double now) {
                slowdown.reported(value, start + Base::fromSeconds(now));
            },
            [&](double now) { return slowdown.factor(start + Base::fromSeconds(now)); });
    }
    return errors;
}

std::string row(const std::string &name, const Errors &errors)
{
    std::string text = name + std::string(40 - name.size(), ' ');
    for (const double error : errors) {
        std::array<char, 16> number{};
        std::snprintf(number.data(), number.size(), "%8.4f", error);
        text += number.data();
    }
    return text + "\n";
}

} // namespace

/// Guards against a way of smoothing that is worse than the alternatives, or than no reports at
/// all. Prints the table with --log_level=message.
BOOST_AUTO_TEST_CASE(movingAverageHasTheLowestError)
{
    const Errors none = errorsOfAverage(0, 1);
    const Errors kept = errorsOfSlowdown();
    std::string table = "\nerror of the expected slowdown, by seconds between reports\n"
        + row("", reportIntervals) + row("always 1", none);
    std::vector<Errors> latest;
    for (const double halfLife : {0.1, 0.2, 0.5, 1.0}) {
        latest.push_back(errorsOfAverage(1, halfLife));
        table += row("latest value, half-life " + std::to_string(halfLife), latest.back());
    }
    for (const double weight : {0.2, 0.5, 0.7}) {
        for (const double halfLife : {0.1, 0.2, 0.5, 1.0}) {
            const std::string name = "average, weight " + std::to_string(weight).substr(0, 3)
                + ", half-life " + std::to_string(halfLife).substr(0, 3);
            table += row(name, errorsOfAverage(weight, halfLife));
        }
    }
    BOOST_TEST_MESSAGE(table + row("EndpointSlowdown", kept));
    for (std::size_t i = 0; i < kept.size(); ++i) {
        BOOST_TEST(kept[i] < none[i], reportIntervals[i]);
        for (const Errors &errors : latest)
            BOOST_TEST(kept[i] < errors[i], reportIntervals[i]);
    }
}

/// Guards against a changed behaviour of endpoints that report no slowdown.
BOOST_AUTO_TEST_CASE(factorWithoutReportIsOne)
{
    const EndpointSlowdown slowdown;
    BOOST_TEST(slowdown.factor({}) == 1);
    BOOST_TEST(slowdown.factor(start) == 1);
}

/// Guards against a factor that follows each report of a value that flaps many times a second.
BOOST_AUTO_TEST_CASE(flappingValueIsSmoothed)
{
    EndpointSlowdown slowdown;
    Base::MonoTime now = start;
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(20);
        slowdown.reported(i % 2 == 0 ? 1 : 5, now);
        if (i < 10)
            continue;
        BOOST_TEST(slowdown.factor(now) > 1.9);
        BOOST_TEST(slowdown.factor(now) < 4);
    }
}

/// Guards against requests that avoid an endpoint, or that all go to it, as its figure is frozen.
BOOST_AUTO_TEST_CASE(frozenValueLosesItsWeight)
{
    for (const double frozen : {0.01, 4.0, 100.0}) {
        EndpointSlowdown slowdown;
        Base::MonoTime now = start;
        slowdown.reported(frozen, now);
        const double fresh = std::abs(slowdown.factor(now) - 1);
        for (int i = 0; i < 100; ++i) {
            now += milliseconds(20);
            slowdown.reported(frozen, now);
            BOOST_TEST(std::abs(slowdown.factor(now) - 1) < fresh);
        }
        BOOST_TEST(std::abs(slowdown.factor(now) - 1) < 0.01);
    }
}

/// Guards against a report of seconds ago that still decides.
BOOST_AUTO_TEST_CASE(reportLosesItsWeightWithItsAge)
{
    EndpointSlowdown slowdown;
    slowdown.reported(3, start);
    const double fresh = slowdown.factor(start);
    BOOST_TEST(fresh > 1.5);
    BOOST_TEST(slowdown.factor(start + milliseconds(500)) < 1 + (fresh - 1) / 4);
    BOOST_TEST(slowdown.factor(start + seconds(3)) < 1.001);
    BOOST_TEST(slowdown.factor(start - seconds(1)) == fresh);
}

/// Guards against faulty reports that make an endpoint unusable or attract all requests to it.
BOOST_AUTO_TEST_CASE(implausibleValuesAreIgnored)
{
    const double infinity = std::numeric_limits<double>::infinity();
    const double nan = std::numeric_limits<double>::quiet_NaN();
    for (const double value : {0.0, -0.0, -1.0, 100.01, 1e300, infinity, -infinity, nan}) {
        EndpointSlowdown slowdown;
        slowdown.reported(value, start);
        BOOST_TEST(slowdown.factor(start) == 1, value);
        slowdown.reported(2, start);
        const double factor = slowdown.factor(start);
        slowdown.reported(value, start + milliseconds(100));
        BOOST_TEST(slowdown.factor(start) == factor, value);
    }
}

/// Guards against a factor beyond its limits, however often extreme values are reported.
BOOST_AUTO_TEST_CASE(factorIsLimited)
{
    EndpointSlowdown slow;
    EndpointSlowdown fast;
    for (int i = 0; i < 100; ++i) {
        slow.reported(100 - 0.1 * i, start);
        fast.reported(0.01 + 0.0001 * i, start);
        BOOST_TEST(slow.factor(start) <= 10);
        BOOST_TEST(fast.factor(start) >= 0.5);
    }
    BOOST_TEST(slow.factor(start) > 9.9);
    BOOST_TEST(fast.factor(start) < 0.51);
}
