#define BOOST_TEST_MODULE statistics
#include <boost/test/unit_test.hpp>

#include "experiment/metricstext.h"
#include "experiment/statistics.h"

using namespace Lagoonbank::Experiment;

BOOST_AUTO_TEST_CASE(percentilesAreExact)
{
    Samples samples;
    BOOST_TEST(!samples.percentile(50).has_value());
    BOOST_TEST(!samples.mean().has_value());
    for (int i = 100; i >= 1; --i)
        samples.add(i);
    BOOST_TEST(samples.percentile(0).value() == 1);
    BOOST_TEST(samples.percentile(50).value() == 50);
    BOOST_TEST(samples.percentile(95).value() == 95);
    BOOST_TEST(samples.percentile(99.5).value() == 100);
    BOOST_TEST(samples.max().value() == 100);
    BOOST_TEST(samples.mean().value() == 50.5);
    samples.add(0.5);
    BOOST_TEST(samples.percentile(0).value() == 0.5);
}

BOOST_AUTO_TEST_CASE(skewComparesLoadPerCapacity)
{
    SkewMeter meter({.bound = 1.25, .typicalWork = 100});
    meter.add({{200, 1}, {200, 1}});
    meter.add({{400, 2}, {200, 1}});
    meter.add({{400, 1}, {200, 1}});
    BOOST_TEST(meter.samples().size() == 3U);
    BOOST_TEST(meter.samples().percentile(50).value() == 1);
    BOOST_TEST(meter.samples().max().value() == 400.0 / 300.0);
    BOOST_TEST(meter.samplesOverBound() == 0U);
}

BOOST_AUTO_TEST_CASE(skewAllowsOneRequestOverTheBound)
{
    SkewMeter meter({.bound = 1.25, .typicalWork = 100});
    meter.add({{500, 1}, {100, 1}});
    BOOST_TEST(meter.samplesOverBound() == 1U);
    BOOST_TEST(meter.excessRequests().max().value() == 1.25);
    meter.add({{450, 1}, {150, 1}});
    BOOST_TEST(meter.samplesOverBound() == 1U);
}

BOOST_AUTO_TEST_CASE(skewWithoutLargestRequestIgnoresItsSize)
{
    SkewMeter meter({.bound = 1.25, .typicalWork = 100});
    meter.add({{1000, 1, 900}, {200, 1, 50}});
    BOOST_TEST(meter.samplesWithoutLargest().max().value() == 150.0 / 600.0);
}

BOOST_AUTO_TEST_CASE(nearlyIdleFleetHasNoSkew)
{
    SkewMeter meter({.bound = 1.25, .typicalWork = 100});
    meter.add({{100, 1}, {0, 1}});
    meter.add({{0, 1}, {0, 1}});
    meter.add({});
    BOOST_TEST(meter.samples().empty());
    BOOST_TEST(meter.idleSamples() == 2U);
}

BOOST_AUTO_TEST_CASE(metricsAreRead)
{
    const auto metrics = readMetrics("# HELP x\n"
                                     "x_total{peer=\"a\",kind=\"b\"} 3\n"
                                     "x_total{peer=\"c\"} 4 1700000000\n"
                                     "y 0.5\nbroken{ 1\nno-value\n");
    BOOST_TEST(metrics.size() == 3U);
    BOOST_TEST(metrics.front().labels.at("kind") == "b");
    BOOST_TEST(sumOf(metrics, "x_total").value() == 7);
    BOOST_TEST(sumOf(metrics, "y").value() == 0.5);
    BOOST_TEST(!sumOf(metrics, "z").has_value());
}

BOOST_AUTO_TEST_CASE(histogramSubtractsEarlierSamples)
{
    const auto before = readMetrics("d_bucket{le=\"1\"} 10\nd_bucket{le=\"2\"} 10\n"
                                    "d_bucket{le=\"+Inf\"} 10\n");
    const auto after = readMetrics("d_bucket{le=\"1\"} 10\nd_bucket{le=\"2\"} 110\n"
                                   "d_bucket{le=\"+Inf\"} 110\n");
    Histogram histogram;
    BOOST_TEST(!histogram.percentile(50).has_value());
    histogram.add(after, "d");
    histogram.subtract(before, "d");
    BOOST_TEST(histogram.percentile(50).value() == 1.5);
    BOOST_TEST(histogram.percentile(100).value() == 2);
}
