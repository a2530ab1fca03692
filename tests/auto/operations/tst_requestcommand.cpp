#define BOOST_TEST_MODULE RequestCommand
#include <boost/test/unit_test.hpp>

#include "claims/claimrecord.h"
#include "fakefleet.h"
#include "operations/requestcommand.h"
#include "operations/statuscommand.h"
#include "operations/timelinecommand.h"
#include "timeline/eventjson.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Operations;

namespace {

const Base::RequestId id = Timeline::makeRequestId({.dataCentre = Base::DataCentreId("dha"),
                                                    .vm = Base::VmId("dha-vm-1"),
                                                    .incarnation = Base::Incarnation(1000),
                                                    .sequence = 7});

Timeline::Outcome whole()
{
    return {
        .request = id,
        .workspace = Base::WorkspaceId("parties"),
        .key = Base::IdempotencyKey("k 1"),
        .isModelCall = false,
        .idempotent = false,
        .tookMs = 9,
        .end = {.kind = Timeline::OutcomeKind::Whole, .ran = Errors::Ran::Yes, .status = 200},
        .attempts = {
            {.endpoint = Base::EndpointId("b1"), .startedMs = 1, .endedMs = 9, .result = "whole"}}};
}

Claims::Claim claim()
{
    return {.key = {.workspace = Base::WorkspaceId("parties"), .key = Base::IdempotencyKey("k 1")},
            .request = id,
            .router = {.vm = Base::VmId("dha-vm-1"), .incarnation = Base::Incarnation(1000)},
            .call = Claims::CallHash(1)};
}

std::string eventsBody(const std::string &process, std::int64_t wallMs)
{
    const Timeline::ProcessEvent event{.process = process,
                                       .event = {.time = {.wallMs = wallMs},
                                                 .sequence = 1,
                                                 .type = Timeline::EventType::RequestEnded,
                                                 .fields = {.request = id, .detail = "whole"}}};
    return FakeFleet::Json{{"events", {Timeline::toJson(event)}}}.dump();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

struct Fixture : FakeFleet
{
    Fixture()
    {
        admins = {{"10.0.0.1", 1}, {"10.0.0.2", 1}};
        vms = {{{"id", "dha-vm-1"},
                {"address", "10.0.0.2:9"},
                {"data_centre", "dha"},
                {"state", "live"}}};
        admin = [this](const std::string &ip, const std::string &target) {
            adminRequests.push_back(ip + " " + target);
            return answer(ip, target);
        };
    }

    std::optional<std::string> answer(const std::string &ip, const std::string &target)
    {
        if (ip == unreachableIp)
            return std::nullopt;
        if (target.starts_with("/admin/events"))
            return ip == ipWithOutcome ? eventsBody("vm/router", 5) : R"({"events": []})";
        return ip == ipWithOutcome ? Timeline::toJson(outcome).dump() : std::string();
    }
    Report runRequestCommand(bool byKey = false)
    {
        const Context context = this->context();
        RequestQuery query{.request = id};
        if (byKey) {
            query = {.workspace = Base::WorkspaceId("parties"), .key = Base::IdempotencyKey("k 1")};
        }
        RequestCommand command(context, query);
        return run(command);
    }

    Timeline::Outcome outcome = whole();
    std::string ipWithOutcome;
    std::string unreachableIp;
    std::vector<std::string> adminRequests;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestCommandTests, Fixture)

BOOST_AUTO_TEST_CASE(queriesTheRouterNamedInTheIdFirst)
{
    ipWithOutcome = "10.0.0.2";
    const Report report = runRequestCommand();
    BOOST_CHECK(report.status == ExitStatus::Ok);
    BOOST_TEST(report.text.starts_with("The request completed on endpoint b1 in 9 ms.\n"));
    BOOST_TEST(contains(report.text, "attempt 1 on b1 after 1 ms, took 8 ms: whole"));
    BOOST_TEST(contains(report.text, "request-ended"));
    BOOST_REQUIRE(!adminRequests.empty());
    BOOST_TEST(adminRequests[0] == "10.0.0.2 /admin/outcome?id=dha~dha-vm-1~rs~7");
}

BOOST_AUTO_TEST_CASE(queriesOtherProcessesIfVmListIsWrongOrUnavailable)
{
    ipWithOutcome = "10.0.0.1";
    BOOST_CHECK(runRequestCommand().status == ExitStatus::Ok);
    isLogUnavailable = true;
    BOOST_CHECK(runRequestCommand().status == ExitStatus::Ok);
}

/// The router of the request has been replaced, so that only the log has the outcome.
BOOST_AUTO_TEST_CASE(readsTheLogIfNoProcessHasTheOutcome)
{
    struct Case
    {
        std::string name;
        std::vector<std::pair<std::string, std::string>> records; ///< Stream and data.
        std::string sentence; ///< Empty if no outcome is known.
    };
    const std::string outcomeRecord = Timeline::toJson(whole()).dump();
    const std::string claimRecord = Claims::toRecord(claim()).data;
    const auto claimEnd = [](Errors::Ran ran) {
        return Claims::toRecord(Claims::ClaimOutcome{.claim = claim(), .outcome = {.ran = ran}})
            .data;
    };
    const std::vector<Case> cases{
        {"outcome", {{"outcomes", outcomeRecord}}, "The request completed on endpoint b1 in 9 ms."},
        {"outcome before claims",
         {{"claims", claimRecord}, {"outcomes", outcomeRecord}},
         "The request completed on endpoint b1 in 9 ms."},
        {"claim that ended",
         {{"claims", claimRecord}, {"claims", claimEnd(Errors::Ran::Yes)}},
         "The request completed."},
        {"claim that did not run",
         {{"claims", claimRecord}, {"claims", claimEnd(Errors::Ran::No)}},
         "The request was refused and did not run: the cause is unknown."},
        {"claim only",
         {{"claims", claimRecord}},
         "The request has an unknown outcome: the cause is unknown. The request may have run."},
        {"malformed records", {{"claims", "{"}, {"outcomes", "[1"}, {"outcomes", "{}"}}, ""},
    };
    for (const Case &test : cases) {
        for (const bool byKey : {false, true}) {
            BOOST_TEST_CONTEXT(test.name << ", by key: " << byKey)
            {
                Fixture fleet;
                for (const auto &[stream, data] : test.records)
                    fleet.add(stream, "x", data);
                const Report report = fleet.runRequestCommand(byKey);
                if (test.sentence.empty()) {
                    BOOST_CHECK(report.status == ExitStatus::NotFound);
                    BOOST_TEST(report.text.starts_with("No outcome is known for "));
                } else {
                    BOOST_CHECK(report.status == ExitStatus::Ok);
                    BOOST_TEST(report.text.substr(0, report.text.find('\n')) == test.sentence);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(listsTheExecutedRequestBeforeReplayedAnswers)
{
    ipWithOutcome = "10.0.0.1";
    outcome.request = Base::RequestId("dha~dha-vm-2~rs~8");
    outcome.attempts.clear();
    outcome.key = Base::IdempotencyKey("k'1");
    const Context context = this->context();
    RequestCommand recorded(context, {.request = outcome.request});
    BOOST_TEST(contains(run(recorded).text, R"(request --workspace 'parties' --key 'k'\''1')"));

    outcome.key = whole().key;
    add("outcomes", "x", Timeline::toJson(whole()).dump());
    const Report report = runRequestCommand(true);
    BOOST_TEST(report.text.starts_with("The request completed on endpoint b1"));
    BOOST_TEST(report.json["outcomes"].size() == 2U);
}

BOOST_AUTO_TEST_CASE(failsIfAProcessOrTheLogIsUnreachable)
{
    unreachableIp = "10.0.0.1";
    const Report process = runRequestCommand();
    BOOST_CHECK(process.status == ExitStatus::Failed);
    BOOST_TEST(contains(process.text, "1 of 2 processes answered, and the log was read"));
    BOOST_TEST(contains(process.errors, "10.0.0.1:1 did not answer"));
    unreachableIp.clear();
    isLogUnavailable = true;
    const Report log = runRequestCommand();
    BOOST_CHECK(log.status == ExitStatus::Failed);
    BOOST_TEST(contains(log.errors, "The log could not be read"));
}

BOOST_AUTO_TEST_CASE(reportsOutcomesLostByRetention)
{
    firstRetainedOffset = 12;
    BOOST_TEST(contains(runRequestCommand().text, "removed the outcomes before offset 12"));
}

BOOST_AUTO_TEST_CASE(reportsProcessesThatAreBehind)
{
    add("configuration", "a", "{}");
    const auto statusOf = [](int next, bool isReady) {
        return Json{{"process", "p"}, {"ready", isReady}, {"configuration", {{"next", next}}}}
            .dump();
    };
    struct Case
    {
        std::optional<std::string> second;
        ExitStatus status;
        std::string expectedText;
    };
    const std::vector<Case> cases{
        {statusOf(1, true), ExitStatus::Ok, "offset 1"},
        {statusOf(0, true), ExitStatus::Failed, "BEHIND by 1 records"},
        {statusOf(1, false), ExitStatus::Failed, "NOT READY"},
        {R"({"process": "c", "configuration": {"next": 1}, "lease": {"state": "held", "fencing": 4}})",
         ExitStatus::Ok, "lease held, fencing number 4"},
        {std::nullopt, ExitStatus::Failed, "10.0.0.2:1 did not report its status"},
        {"[]", ExitStatus::Failed, "not a JSON object"},
        {"{}", ExitStatus::Failed, "BEHIND"},
    };
    for (const Case &test : cases) {
        admin = [&](const std::string &ip, const std::string &) {
            return ip == "10.0.0.1" ? statusOf(1, true) : test.second;
        };
        const Context context = this->context();
        StatusCommand command(context);
        const Report report = run(command);
        BOOST_CHECK(report.status == test.status);
        BOOST_TEST(contains(report.text + report.errors, test.expectedText), report.text);
    }
}

BOOST_AUTO_TEST_CASE(mergesEventsOfAllProcesses)
{
    admin = [this](const std::string &ip, const std::string &target) {
        adminRequests.push_back(target);
        return eventsBody(ip, ip == "10.0.0.1" ? 20 : 10);
    };
    const Context context = this->context();
    TimelineCommand command(context,
                            {.query = {.since = std::chrono::minutes(10), .endpoint = "a b"}});
    const Report report = run(command);
    BOOST_CHECK(report.status == ExitStatus::Ok);
    BOOST_TEST(report.text.find("10.0.0.2") < report.text.find("10.0.0.1"));
    BOOST_TEST(contains(adminRequests.front(), "endpoint=a%20b"));
    BOOST_TEST(contains(adminRequests.front(), "&since=1727999400000"));
}

BOOST_AUTO_TEST_SUITE_END()
