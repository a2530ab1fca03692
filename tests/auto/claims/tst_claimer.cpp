#define BOOST_TEST_MODULE tst_claimer
#include <boost/test/unit_test.hpp>

#include "claims/claimer.h"
#include "runtime/clock.h"

#include <deque>
#include <memory>
#include <set>

using namespace Lagoonbank;
using namespace Lagoonbank::Claims;
using namespace std::chrono_literals;
using Errors::Ran;
using PlatformClient::AppendState;

namespace {

/// A log shared by several routers; the test decides the result of each append.
struct SharedLog
{
    struct Append
    {
        PlatformClient::Record record;
        std::function<void(PlatformClient::AppendOutcome)> appended;
    };

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    std::deque<Append> appends;
    std::vector<PlatformClient::StoredRecord> records;
    bool isQueueFull = false;

    void advance(Base::Duration duration)
    {
        for (; duration > 0ms; duration -= 50ms) {
            timers.runDue();
            clock.advance(50ms);
        }
        timers.runDue();
    }
    /// Completes the oldest pending append: stores its record if \a isStored, and reports \a state
    /// to the writer, which may differ from what happened.
    void completeAppend(bool isStored, AppendState state)
    {
        const Append append = std::move(appends.front());
        appends.pop_front();
        if (isStored)
            records.push_back(
                {Base::LogOffset(records.size()), append.record.id, append.record.data});
        append.appended({.state = state});
    }
    void completeAllAppends()
    {
        while (!appends.empty())
            completeAppend(true, AppendState::Appended);
    }
};

struct Router
{
    SharedLog &log;
    std::string name;
    std::set<std::string> gone{}; ///< Routers that this one knows to have ended.
    std::unique_ptr<Claimer> claimer = std::make_unique<Claimer>(options());
    std::size_t position = 0;
    std::vector<Decision> decisions{};

    Claimer::Options options()
    {
        return {
            .timers = &log.timers,
            .append =
                [this](PlatformClient::Record record, auto appended) {
                    if (!log.isQueueFull)
                        log.appends.push_back({std::move(record), std::move(appended)});
                    return !log.isQueueFull;
                },
            .isGone = [this](const RouterInstance &run) { return gone.contains(run.vm.value()); }};
    }
    Claim claimOf(const std::string &request, std::uint64_t call = 1) const
    {
        return {.key = {Base::WorkspaceId("qila"), Base::IdempotencyKey("receipt")},
                .request = Base::RequestId(request),
                .router = {Base::VmId(name), Base::Incarnation(1)},
                .call = CallHash(call)};
    }
    Claimer::PendingId claim(const std::string &request, LogOutPolicy policy = LogOutPolicy::Refuse,
                             std::uint64_t call = 1)
    {
        const auto id =
            claimer->claim(claimOf(request, call), policy, 2s,
                           [this](const auto &decision) { decisions.push_back(decision); });
        log.timers.runDue();
        return id;
    }
    void readLog()
    {
        while (position < log.records.size())
            claimer->recordReceived(log.records[position++]);
    }
    Verdict verdict(std::size_t at = 0) const { return decisions.at(at).verdict; }
};

struct Fixture
{
    SharedLog log;
    Router a{.log = log, .name = "a"};
    Router b{.log = log, .name = "b"};

    Fixture()
    {
        a.claimer->setLogUsable(true);
        b.claimer->setLogUsable(true);
    }
    void completeAndRead()
    {
        log.completeAllAppends();
        a.readLog();
        b.readLog();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(concurrentClaimsOfTwoRoutersRunOnce, Fixture)
{
    b.claim("b1");
    a.claim("a1");
    log.completeAllAppends();
    a.readLog();
    BOOST_TEST(a.decisions.empty());
    b.readLog();
    BOOST_TEST((b.verdict() == Verdict::Granted));
    b.claimer->finish(b.claimOf("b1"), {.ran = Ran::Yes, .status = 201, .body = "receipt 7"});
    completeAndRead();
    BOOST_TEST((a.verdict() == Verdict::Ended));
    BOOST_TEST(a.decisions[0].outcome.body == "receipt 7");
    BOOST_TEST(a.decisions[0].holder.value() == "b1");
    BOOST_TEST(b.claimer->unrecorded() == 0);
}

BOOST_FIXTURE_TEST_CASE(concurrentRequestsOfOneRouterRunOnce, Fixture)
{
    a.claim("a1");
    a.claim("a2");
    completeAndRead();
    BOOST_TEST(a.decisions.size() == 1);
    a.claim("a3");
    log.advance(3s);
    completeAndRead();
    BOOST_TEST((a.verdict(1) == Verdict::Running));
    BOOST_TEST((a.verdict(2) == Verdict::Running));
}

BOOST_FIXTURE_TEST_CASE(crashBetweenClaimAndOutcomeIsUnknown, Fixture)
{
    a.claim("a1");
    completeAndRead();
    BOOST_TEST((a.verdict() == Verdict::Granted));
    b.gone.insert("a");
    b.claim("b1");
    BOOST_TEST((b.verdict() == Verdict::Unknown));
    BOOST_TEST(log.appends.empty());
}

BOOST_FIXTURE_TEST_CASE(lostAppendResponseIsResolvedByReadingLog, Fixture)
{
    a.claim("a1");
    log.completeAppend(true, AppendState::Unknown);
    BOOST_TEST(a.decisions.empty());
    a.readLog();
    BOOST_TEST((a.verdict() == Verdict::Granted));
}

BOOST_FIXTURE_TEST_CASE(lostResponseAndRetryThroughAnotherRouterRunOnce, Fixture)
{
    a.claim("a1");
    log.completeAppend(true, AppendState::Unknown);
    b.claim("b1");
    completeAndRead();
    BOOST_TEST((a.verdict() == Verdict::Granted));
    BOOST_TEST(b.decisions.empty());
    a.claimer->finish(a.claimOf("a1"), {.ran = Ran::Yes, .status = 201, .body = "receipt 8"});
    // The response to the outcome's append is lost, too.
    log.completeAppend(true, AppendState::Unknown);
    completeAndRead();
    BOOST_TEST((b.verdict() == Verdict::Ended));
    BOOST_TEST(b.decisions[0].outcome.body == "receipt 8");
    BOOST_TEST(a.decisions.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(claimNotReadBackIsRefusedAndAbandoned, Fixture)
{
    a.claim("a1");
    const auto late = log.appends.front();
    log.completeAppend(false, AppendState::Unknown);
    log.advance(3s);
    BOOST_TEST((a.verdict() == Verdict::Unavailable));
    completeAndRead();
    log.records.push_back({Base::LogOffset(9), late.record.id, late.record.data});
    b.claim("b1");
    completeAndRead();
    BOOST_TEST((b.verdict() == Verdict::Granted));
    BOOST_TEST(a.decisions.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(reusedKeyForDifferentCallIsRefused, Fixture)
{
    a.claim("a1");
    completeAndRead();
    b.claim("b1", LogOutPolicy::Refuse, 2);
    BOOST_TEST((b.verdict() == Verdict::KeyReused));
}

BOOST_FIXTURE_TEST_CASE(waitingRequestIsGrantedWhenHolderDidNotRun, Fixture)
{
    a.claim("a1");
    completeAndRead();
    b.claim("b1");
    a.claimer->finish(a.claimOf("a1"), {.ran = Ran::No});
    completeAndRead();
    completeAndRead();
    BOOST_TEST((b.verdict() == Verdict::Granted));
}

BOOST_FIXTURE_TEST_CASE(logOutageFollowsContract, Fixture)
{
    a.claimer->setLogUsable(false);
    a.claim("a1");
    BOOST_TEST((a.verdict() == Verdict::Unavailable));
    a.claim("a2", LogOutPolicy::LocalOnly);
    BOOST_TEST((a.verdict(1) == Verdict::GrantedLocally));
    a.claimer->finish(a.claimOf("a2"), {.ran = Ran::Yes, .status = 200});
    log.completeAppend(false, AppendState::NotAppended);
    a.claim("a3", LogOutPolicy::LocalOnly);
    BOOST_TEST((a.verdict(2) == Verdict::Ended));
    log.advance(3s);
    completeAndRead();
    b.claim("b1");
    BOOST_TEST((b.verdict() == Verdict::Ended));
}

BOOST_FIXTURE_TEST_CASE(failedClaimAppendFollowsContract, Fixture)
{
    a.claim("a1");
    log.completeAppend(false, AppendState::NotAppended);
    BOOST_TEST((a.verdict() == Verdict::Unavailable));
    a.claim("a2", LogOutPolicy::LocalOnly);
    log.completeAppend(false, AppendState::NotAppended);
    BOOST_TEST((a.verdict(1) == Verdict::GrantedLocally));
    log.isQueueFull = true;
    b.claim("b1");
    BOOST_TEST((b.verdict() == Verdict::Unavailable));
}

BOOST_FIXTURE_TEST_CASE(cancelledClaimIsAbandoned, Fixture)
{
    const auto id = a.claim("a1");
    a.claimer->cancel(id);
    completeAndRead();
    BOOST_TEST(a.decisions.empty());
    b.claim("b1");
    completeAndRead();
    BOOST_TEST((b.verdict() == Verdict::Granted));
}
