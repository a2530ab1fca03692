#define BOOST_TEST_MODULE StandinFaults
#include "standins/support/faults.h"
#include "standins/support/ledger.h"
#include "standins/support/requestfields.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Standins;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(malformedFaultsChangeNothing)
{
    const std::string bodies[] = {"",
                                  "[]",
                                  "{}",
                                  R"({"fault": "explode"})",
                                  R"({"fault": 3})",
                                  R"({"fault": "refuse", "count": 0})",
                                  R"({"fault": "refuse", "count": "two"})",
                                  R"({"fault": "refuse", "colour": 1})",
                                  R"({"fault": "slow", "factor": 0.5})",
                                  R"({"fault": "slow", "count": 1})",
                                  R"({"fault": "flap", "period_ms": 0})",
                                  R"({"fault": "late", "delay_ms": -1})"};
    for (const std::string &body : bodies) {
        Runtime::ManualClock clock;
        FaultSet faults(clock);
        BOOST_TEST_CONTEXT(body)
        {
            const auto injected = faults.inject(body);
            BOOST_REQUIRE(!injected);
            BOOST_TEST((injected.error().kind == Errors::ErrorKind::BadRequest));
            BOOST_TEST(!injected.error().detail.empty());
            BOOST_TEST(faults.describe()["faults"].empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(countLimitsTheAffectedRequests)
{
    Runtime::ManualClock clock;
    FaultSet faults(clock);
    BOOST_REQUIRE(faults.inject(R"({"fault": "refuse", "count": 2})"));
    BOOST_REQUIRE(faults.inject(R"({"fault": "late", "delay_ms": 7})"));
    for (const bool isRefused : {true, true, false, false}) {
        const RequestFaults requestFaults = faults.takeForRequest();
        BOOST_TEST(requestFaults.has(FaultKind::Refuse) == isRefused);
        BOOST_REQUIRE(requestFaults.has(FaultKind::Late));
        BOOST_TEST((requestFaults.find(FaultKind::Late)->delay == milliseconds(7)));
    }
    BOOST_REQUIRE(faults.inject(R"({"fault": "none"})"));
    BOOST_TEST(!faults.takeForRequest().has(FaultKind::Late));
}

BOOST_AUTO_TEST_CASE(newFaultReplacesTheOneOfItsKind)
{
    Runtime::ManualClock clock;
    FaultSet faults(clock);
    BOOST_REQUIRE(faults.inject(R"({"fault": "slow", "factor": 3})"));
    BOOST_REQUIRE(faults.inject(R"({"fault": "slow", "factor": 2})"));
    BOOST_TEST(faults.slowFactor() == 2);
}

BOOST_AUTO_TEST_CASE(flapAlternatesBetweenDownAndUp)
{
    Runtime::ManualClock clock;
    FaultSet faults(clock);
    BOOST_TEST(!faults.isDown());
    BOOST_REQUIRE(faults.inject(R"({"fault": "flap", "period_ms": 100})"));
    for (const bool down : {true, false, true, false}) {
        BOOST_TEST(faults.isDown() == down);
        clock.advance(milliseconds(99));
        BOOST_TEST(faults.isDown() == down);
        clock.advance(milliseconds(1));
    }
}

BOOST_AUTO_TEST_CASE(ledgerIsBoundedAndKeepsRunningEntriesOnClear)
{
    Ledger ledger(2);
    const Base::WallTime now{std::chrono::seconds(5)};
    const auto begin = [&](const char *id) {
        return ledger.begin({.requestId = Base::RequestId(id), .started = now});
    };
    const Ledger::Number first = begin("a");
    const Ledger::Number second = begin("b");
    const Ledger::Number third = begin("c");
    ledger.end(first, RunState::Whole, now);
    ledger.end(second, RunState::Whole, now);
    BOOST_TEST(ledger.find(first) == nullptr);
    BOOST_TEST(ledger.toJson()["dropped"] == 1);
    ledger.clear();
    const nlohmann::json entries = ledger.toJson()["entries"];
    BOOST_REQUIRE(entries.size() == 1U);
    BOOST_TEST(entries[0]["request_id"] == "c");
    BOOST_TEST(entries[0]["state"] == "running");
    ledger.end(third, RunState::Cancelled, now);
    BOOST_TEST(ledger.toJson()["entries"][0]["state"] == "cancelled");
    BOOST_TEST(ledger.toJson()["entries"][0]["ended_ms"] == 5000);
}

BOOST_AUTO_TEST_CASE(queryValuesAreParsed)
{
    BOOST_TEST(queryValue("from=3&chat=a%2Fb+c", "chat").value() == "a/b c");
    BOOST_TEST(queryValue("from=3&chat=a%2Fb+c", "from").value() == "3");
    BOOST_TEST(queryValue("flag", "flag").value().empty());
    BOOST_TEST(!queryValue("from=3", "rom").has_value());
    BOOST_TEST(parseNumber("42").value() == 42U);
    for (const char *bad : {"", "-1", "4x", "99999999999999999999999"})
        BOOST_TEST(!parseNumber(bad).has_value());
}
