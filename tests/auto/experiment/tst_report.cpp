#define BOOST_TEST_MODULE report
#include <boost/test/unit_test.hpp>

#include "experiment/report.h"

#include <nlohmann/json.hpp>

using namespace Lagoonbank;
using namespace Lagoonbank::Experiment;

namespace {

Report measuredReport()
{
    Report report;
    report.experiment = "qila";
    report.policy = "bounded";
    report.requests = {.sent = 10, .whole = 9, .refused = 1};
    report.cacheReuse = {.returning = 4, .landedOnCached = 3, .isMeasured = true};
    report.skew.emplace(SkewMeter::Options{.bound = 1.25, .typicalWork = 1});
    report.skew->add({{30, 1}, {10, 1}});
    report.firstTokenMs.add(5);
    return report;
}

} // namespace

BOOST_AUTO_TEST_CASE(missingMeasurementsAreNull)
{
    const auto json = nlohmann::json::parse(toJson(Report()));
    for (const char *promise : {"crossed_answers", "cut_answers", "refused_but_ran", "ran_twice",
                                "lost_accepted", "sent_to_leaving", "config_reverted"})
        BOOST_TEST(json.at("broken_promises").at(promise).is_null(), promise);
    BOOST_TEST(json.at("cache_reuse").at("ratio").is_null());
    BOOST_TEST(json.at("skew").at("max_over_mean_p99").is_null());
    BOOST_TEST(json.at("control_bytes_per_s").at("mean_per_router").is_null());
    BOOST_TEST(json.at("latency_ms").at("first_token_p95").is_null());
    BOOST_TEST(json.at("latency_ms").at("between_tokens_p95").is_null());
    BOOST_TEST(json.at("decision_us").at("p99").is_null());
}

BOOST_AUTO_TEST_CASE(figuresAreWrittenUnderTheirKeys)
{
    const auto json = nlohmann::json::parse(toJson(measuredReport()));
    BOOST_TEST(json.at("requests").at("whole") == 9);
    BOOST_TEST(json.at("cache_reuse").at("ratio") == 0.75);
    BOOST_TEST(json.at("skew").at("max_over_mean_p50") == 1.5);
    BOOST_TEST(json.at("skew").at("samples") == 1);
    BOOST_TEST(json.at("latency_ms").at("first_token_p99") == 5);
}

BOOST_AUTO_TEST_CASE(reportsAreComparedInColumns)
{
    const auto first = readReportText("a.json", toJson(measuredReport()));
    const auto second = readReportText("b.json", toJson(Report()));
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(second.has_value());
    const std::string table = formatTable({first.value(), second.value()});
    BOOST_TEST(table.find("bounded") != std::string::npos);
    BOOST_TEST(table.find("0.750           -") != std::string::npos, table);

    const std::string svg = plotReuseAgainstSkew({first.value(), second.value()});
    BOOST_TEST(svg.find(">bounded<") != std::string::npos);
    BOOST_TEST(svg.ends_with("</svg>\n"));
}

BOOST_AUTO_TEST_CASE(invalidReportsAreRejected)
{
    BOOST_TEST(readReportText("a.json", "{").error().detail == "a.json:1: is no report");
    BOOST_TEST(readReportText("a.json", "{}").has_error());
    BOOST_TEST(readReport("/nowhere/a.json").has_error());
}
