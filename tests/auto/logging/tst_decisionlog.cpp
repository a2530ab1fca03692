#define BOOST_TEST_MODULE tst_decisionlog
#include <boost/test/unit_test.hpp>

#include "logging/decisionlog.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <string>
#include <vector>

using namespace Lagoonbank;
using nlohmann::json;

namespace {

struct Fixture
{
    static std::array<int, 2> makePipe()
    {
        std::array<int, 2> ends{};
        BOOST_REQUIRE_EQUAL(pipe2(ends.data(), O_NONBLOCK), 0);
        return ends;
    }
    ~Fixture()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::vector<json> lines()
    {
        log.flush();
        std::string bytes(60000, '\0');
        const ssize_t got = read(ends[0], bytes.data(), bytes.size());
        std::istringstream stream(
            bytes.substr(0, static_cast<std::size_t>(std::max<ssize_t>(got, 0))));
        std::vector<json> all;
        for (std::string line; std::getline(stream, line);)
            all.push_back(json::parse(line));
        return all;
    }

    std::array<int, 2> ends = makePipe();
    Base::MonoTime now{std::chrono::hours(1)};
    Logging::BoundedOutput output{{.descriptor = ends[1]}};
    Logging::DecisionLog log{
        {.output = &output,
         .wallNow = [] { return Base::WallTime(std::chrono::milliseconds(1500)); },
         .now = [this] { return now; },
         .linesPerSecond = 10,
         .burst = 5}};
};

} // namespace

BOOST_AUTO_TEST_CASE(writesLinesAsJsonObjects)
{
    Fixture f;
    f.log.event("router", "It \"works\".",
                {{"name", "a\nb\\"},
                 {"count", 7},
                 {"share", 0.5},
                 {"good", true},
                 {"wait_ms", Base::Duration(std::chrono::microseconds(1500))}});
    const json line = f.lines().at(0);
    BOOST_TEST(line["time"] == "1970-01-01T00:00:01.500Z");
    BOOST_TEST(line["part"] == "router");
    BOOST_TEST(line["text"] == "It \"works\".");
    BOOST_TEST(line["name"] == "a\nb\\");
    BOOST_TEST(line["count"] == 7);
    BOOST_TEST(line["share"] == 0.5);
    BOOST_TEST(line["good"] == true);
    BOOST_TEST(line["wait_ms"] == 1.5);
}

BOOST_AUTO_TEST_CASE(limitsRequestLinesAndCountsSuppressedOnes)
{
    Fixture f;
    for (int i = 0; i < 20; ++i)
        f.log.request("gateway", "Sending.", {{"request", i}});
    BOOST_TEST(f.lines().size() == 5U);
    f.now += std::chrono::seconds(2);
    f.log.request("gateway", "Sending.", {});
    const std::vector<json> nextLines = f.lines();
    BOOST_REQUIRE(nextLines.size() == 2U);
    BOOST_TEST(nextLines[1]["too_many"] == 15);
}

BOOST_AUTO_TEST_CASE(shouldLogRequestCountsSuppressedLines)
{
    Fixture f;
    for (int i = 0; i < 8; ++i) {
        if (f.log.shouldLogRequest())
            f.log.request("gateway", "Sending.", {{"request", i}});
    }
    BOOST_TEST(f.lines().size() == 5U);
    f.now += std::chrono::milliseconds(100);
    BOOST_TEST(f.log.shouldLogRequest());
    BOOST_TEST(f.log.shouldLogRequest()); // Consumes no token.
    f.log.request("gateway", "Sending.", {});
    f.now += std::chrono::seconds(1);
    f.log.request("gateway", "Ended.", {});
    const std::vector<json> nextLines = f.lines();
    BOOST_REQUIRE(nextLines.size() == 3U);
    BOOST_TEST(nextLines[0]["left_out_before"] == 3);
    BOOST_TEST(!nextLines[1].contains("left_out_before"));
    BOOST_TEST(nextLines[2]["too_many"] == 3);
}

BOOST_AUTO_TEST_CASE(doesNotLimitEvents)
{
    Fixture f;
    for (int i = 0; i < 20; ++i)
        f.log.request("gateway", "Sending.", {});
    f.log.event("router", "Stopping.", {});
    BOOST_TEST(f.lines().back()["text"] == "Stopping.");
}
