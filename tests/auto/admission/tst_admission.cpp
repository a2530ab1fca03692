#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include "admission/admissioncontrol.h"

#include <deque>
#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Base;
using Admission::AdmissionControl;
using Admission::AdmitResult;
using Admission::Call;
using Admission::Refusal;
using Admission::Ticket;
using Admission::WorkspaceLimits;
using Errors::ErrorKind;

namespace {

const MonoTime start{std::chrono::hours(1)};
const WorkspaceId qila("qila");

WorkspaceLimits sampleLimits()
{
    return {.requestsPerSecond = {{10, "contracts/qila.yaml:12"}},
            .requestBurst = {{5, "contracts/qila.yaml:13"}},
            .tokensPerSecond = {{1000, "contracts/qila.yaml:14"}},
            .tokenBurst = {{2000, "contracts/qila.yaml:15"}},
            .tokenDebt = {{3000, "contracts/qila.yaml:16"}},
            .concurrency = {{4, "contracts/qila.yaml:17"}},
            .priorities = {{"hint", 0, "contracts/qila.yaml:19"},
                           {"normal", 1, "contracts/qila.yaml:20"}},
            .defaultPriority = "normal",
            .defaultDeadline = {{Duration(10s), "contracts/qila.yaml:21"}},
            .maxDeadline = {{Duration(30s), "contracts/qila.yaml:22"}},
            .services = {{{"booking"}, "contracts/qila.yaml:23"}}};
}

AdmissionControl withQila(WorkspaceLimits limits = sampleLimits())
{
    AdmissionControl admission;
    admission.setLimits(qila, std::move(limits), start);
    return admission;
}

} // namespace

BOOST_AUTO_TEST_CASE(refusalsNameLimitAndContractLine)
{
    struct Row
    {
        std::string name;
        Call call;
        int runningBefore; ///< Calls admitted and still running.
        int endedBefore; ///< Calls admitted and ended.
        ErrorKind kind;
        std::string limit;
        std::string source;
        Duration retryAfter;
    };
    const Row rows[] = {
        {"rate",
         {},
         0,
         5,
         ErrorKind::RateLimited,
         "requests_per_second",
         "contracts/qila.yaml:12",
         100ms},
        {"tokens",
         {.estimatedTokens = Tokens(1500)},
         1,
         0,
         ErrorKind::TokenRateLimited,
         "tokens_per_second",
         "contracts/qila.yaml:14",
         500ms},
        {"tokens never",
         {.estimatedTokens = Tokens(5001)},
         0,
         0,
         ErrorKind::TokenRateLimited,
         "tokens_per_second",
         "contracts/qila.yaml:14",
         0ms},
        {"slots",
         {},
         4,
         0,
         ErrorKind::ConcurrencyLimited,
         "concurrency",
         "contracts/qila.yaml:17",
         10ms},
        {"priority",
         {.priority = "root"},
         0,
         0,
         ErrorKind::PriorityNotAllowed,
         "priorities",
         "contracts/qila.yaml:19",
         0ms},
        {"service",
         {.service = "ledger"},
         0,
         0,
         ErrorKind::ServiceNotAllowed,
         "services",
         "contracts/qila.yaml:23",
         0ms},
        {"deadline",
         {.deadline = Duration(0)},
         0,
         0,
         ErrorKind::DeadlineTooShort,
         "deadline",
         "",
         0ms},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            AdmissionControl admission = withQila();
            std::deque<Ticket> running;
            const Call small{.estimatedTokens = Tokens(row.runningBefore == 1 ? 1000 : 0)};
            for (int i = 0; i < row.runningBefore + row.endedBefore; ++i) {
                AdmitResult admitted = admission.admit(qila, small, start);
                BOOST_REQUIRE(admitted.has_value());
                if (i < row.runningBefore)
                    running.push_back(std::move(admitted.value().ticket));
            }
            const AdmitResult result = admission.admit(qila, row.call, start);
            BOOST_REQUIRE(!result.has_value());
            BOOST_TEST(toString(result.error().kind) == toString(row.kind));
            BOOST_TEST(result.error().limit == row.limit);
            BOOST_TEST(result.error().source == row.source);
            BOOST_TEST(result.error().retryAfter.count() == row.retryAfter.count());
            BOOST_TEST((toError(result.error()).ran == Errors::Ran::No));
        }
    }
}

BOOST_AUTO_TEST_CASE(unknownWorkspaceIsRefused)
{
    AdmissionControl admission;
    BOOST_TEST((admission.admit(qila, {}, start).error().kind == ErrorKind::UnknownKey));
}

BOOST_AUTO_TEST_CASE(prioritiesAndDeadlinesComeFromTheContract)
{
    struct Row
    {
        Call call;
        int level;
        Duration deadline;
    };
    const Row rows[] = {
        {{}, 1, 10s},
        {{.priority = "hint"}, 0, 10s},
        {{.deadline = Duration(3s)}, 1, 3s},
        {{.deadline = Duration(99s)}, 1, 30s},
    };
    for (const Row &row : rows) {
        AdmissionControl admission = withQila();
        const AdmitResult result = admission.admit(qila, row.call, start);
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result.value().priorityLevel == row.level);
        BOOST_TEST((*result.value().deadline - start).count() == row.deadline.count());
    }
}

BOOST_AUTO_TEST_CASE(ticketFreesItsSlotOnceAndOutlivesItsWorkspace)
{
    AdmissionControl admission = withQila();
    Ticket ticket = std::move(admission.admit(qila, {}, start).value().ticket);
    Ticket moved = std::move(ticket);
    BOOST_TEST(admission.gate(qila)->running() == 1);
    moved.settle(Tokens(10), start + 1s);
    moved.settle(Tokens(10), start + 1s);
    moved.refund(start + 1s);
    BOOST_TEST(admission.gate(qila)->running() == 0);

    const Ticket last = std::move(admission.admit(qila, {}, start + 2s).value().ticket);
    admission.remove(qila);
    BOOST_TEST(last.isHeld());
}

BOOST_AUTO_TEST_CASE(tokensAreSettledAndRefunded)
{
    const Call call{.estimatedTokens = Tokens(1500)};
    {
        AdmissionControl admission = withQila();
        admission.admit(qila, call, start).value().ticket.settle(Tokens(500), start);
        BOOST_TEST(admission.admit(qila, call, start).has_value());
    }
    {
        AdmissionControl admission = withQila();
        admission.admit(qila, call, start).value().ticket.settle(Tokens(4000), start);
        const AdmitResult refused = admission.admit(qila, call, start);
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST(toMilliseconds(refused.error().retryAfter) == 3500);
    }
    {
        AdmissionControl admission = withQila();
        for (int i = 0; i < 20; ++i)
            admission.admit(qila, call, start).value().ticket.refund(start);
    }
}

BOOST_AUTO_TEST_CASE(slotWaitFollowsMeanCallDuration)
{
    AdmissionControl admission = withQila();
    admission.admit(qila, {}, start).value().ticket.settle(Tokens(0), start + 2s);
    std::deque<Ticket> running;
    for (int i = 0; i < 4; ++i)
        running.push_back(std::move(admission.admit(qila, {}, start + 3s).value().ticket));
    const AdmitResult refused = admission.admit(qila, {}, start + 3s);
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST(toMilliseconds(refused.error().retryAfter) == 500);
}

BOOST_AUTO_TEST_CASE(surgeDoesNotAffectOtherWorkspaces)
{
    AdmissionControl admission = withQila();
    const WorkspaceId lipat("lipat-damit");
    admission.setLimits(lipat, sampleLimits(), start);
    int surgeAdmitted = 0;
    int othersRefused = 0;
    // 100 s with one workspace at 10 times its rate and the other one at its rate.
    for (int i = 0; i < 10000; ++i) {
        const MonoTime now = start + 10ms * i;
        surgeAdmitted += admission.admit(qila, {}, now).has_value() ? 1 : 0;
        if (i % 10 == 0)
            othersRefused += admission.admit(lipat, {}, now).has_value() ? 0 : 1;
    }
    BOOST_TEST(surgeAdmitted >= 1000);
    BOOST_TEST(surgeAdmitted <= 1005);
    BOOST_TEST(othersRefused == 0);
}

BOOST_AUTO_TEST_CASE(shareScalesEveryLimit)
{
    AdmissionControl admission = withQila();
    admission.setShare(qila, 0.5, start);
    BOOST_TEST(admission.gate(qila)->slots() == 2);
    int admitted = 0;
    for (int i = 0; i < 10000; ++i)
        admitted += admission.admit(qila, {}, start + 10ms * i).has_value() ? 1 : 0;
    BOOST_TEST(admitted >= 500);
    BOOST_TEST(admitted <= 503);
    const double demanded = admission.gate(qila)->demandedShare(start + 100s);
    BOOST_TEST(demanded > 9.0);
    BOOST_TEST(demanded < 11.0);
}

BOOST_AUTO_TEST_CASE(changedLimitsApplyImmediately)
{
    AdmissionControl admission = withQila();
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(admission.admit(qila, {}, start).has_value());
    WorkspaceLimits limits = sampleLimits();
    limits.requestBurst->value = 8;
    admission.setLimits(qila, limits, start);
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(admission.admit(qila, {}, start).has_value());
    BOOST_TEST(!admission.admit(qila, {}, start).has_value());
}
