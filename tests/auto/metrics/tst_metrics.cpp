#define BOOST_TEST_MODULE tst_metrics
#include "metrics/registry.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <stdexcept>
#include <string>

using namespace Lagoonbank::Metrics;

namespace {

constexpr std::array catalogue{
    Metric{.name = "requests_total",
           .kind = Kind::Counter,
           .unit = "requests",
           .help = "Requests by outcome.",
           .whenItRises = "Nothing."},
    Metric{.name = "open_requests",
           .kind = Kind::Gauge,
           .unit = "requests",
           .help = "Requests in flight.",
           .whenItRises = "Look at the endpoints."},
};
const std::array withHistogram{Metric{.name = "latency_seconds",
                                      .kind = Kind::Histogram,
                                      .unit = "seconds",
                                      .help = "Time.",
                                      .whenItRises = "Look.",
                                      .bounds = latencyBounds}};

} // namespace

BOOST_AUTO_TEST_CASE(textContainsUsedMetrics)
{
    Registry registry(catalogue);
    Counter counter = registry.counter("requests_total", {{"outcome", "whole"}});
    counter.increment();
    registry.counter("requests_total", {{"outcome", "whole"}}).increment(2);
    registry.gauge("open_requests").set(4);
    registry.gauge("open_requests").add(-1);
    const std::string text = registry.text();
    BOOST_TEST(text.find("# TYPE requests_total counter") != std::string::npos);
    BOOST_TEST(text.find("requests_total{outcome=\"whole\"} 3") != std::string::npos);
    BOOST_TEST(text.find("# HELP open_requests Requests in flight.") != std::string::npos);
    BOOST_TEST(text.find("open_requests 3") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(histogramCountsValuesInBuckets)
{
    Registry registry(withHistogram);
    registry.histogram("latency_seconds").observe(0.003);
    const std::string text = registry.text();
    BOOST_TEST(text.find("latency_seconds_bucket{le=\"0.002\"} 0") != std::string::npos);
    BOOST_TEST(text.find("latency_seconds_bucket{le=\"0.005\"} 1") != std::string::npos);
    BOOST_TEST(text.find("latency_seconds_count 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(rejectsMetricsMissingFromCatalogue)
{
    Registry registry(catalogue);
    BOOST_CHECK_THROW(registry.counter("others_total"), std::logic_error);
    BOOST_CHECK_THROW(registry.gauge("requests_total"), std::logic_error);
}

BOOST_AUTO_TEST_CASE(formatsCatalogueAsMarkdown)
{
    const std::string table = toMarkdown(catalogue);
    BOOST_TEST(
        table.find("| `open_requests` | gauge | requests | Requests in flight. | Look at the "
                   "endpoints. |")
        != std::string::npos);
}
