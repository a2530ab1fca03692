#define BOOST_TEST_MODULE tst_processcheck
#include <boost/test/unit_test.hpp>

#include "gateway/answerend.h"
#include "gateway/processcheck.h"
#include "runtime/clock.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <ostream>
#include <utility>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;

namespace Lagoonbank::Gateway {

std::ostream &operator<<(std::ostream &stream, ProcessEvidence evidence)
{
    return stream << toString(evidence);
}

std::ostream &operator<<(std::ostream &stream, AnswerEnd end)
{
    return stream << static_cast<int>(end);
}

} // namespace Lagoonbank::Gateway

namespace {

struct Fixture
{
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }
    void start()
    {
        check.check(server, clock.now(), [this](const ProcessState &state) { result = state; });
    }
    void answerConnection(bool isOpen)
    {
        BOOST_REQUIRE(connected);
        std::exchange(connected, nullptr)(isOpen);
    }

    const Runtime::SocketAddress server{"127.0.0.1", 80};
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    std::size_t openConnections = 0;
    Base::Duration eventAge{};
    std::function<void(bool isOpen)> connected; ///< Set while a connection is attempted.
    Base::Duration holdTime{};
    std::optional<ProcessState> result;
    ProcessCheck check{{.timers = &timers,
                        .openConnections = [this](const auto &...) { return openConnections; },
                        .connect =
                            [this](const auto &, Base::Duration, Base::Duration hold,
                                   std::function<void(bool)> checked) {
                                holdTime = hold;
                                connected = std::move(checked);
                            },
                        .eventAge = [this] { return eventAge; }}};
};

} // namespace

BOOST_AUTO_TEST_CASE(processWithAnOpenConnectionGoesOn)
{
    Fixture f;
    f.openConnections = 2;
    f.start();
    f.pass(milliseconds(3));
    BOOST_TEST(!f.result);
    f.pass(milliseconds(1));
    BOOST_TEST_REQUIRE(f.result.has_value());
    BOOST_TEST(f.result->evidence == ProcessEvidence::OpenConnection);
    BOOST_TEST(f.result->isRunning());
    BOOST_TEST(!f.connected);
}

/// Guards against a process that seems to go on as the closes of its other connections arrive a
/// moment after the first.
BOOST_AUTO_TEST_CASE(connectionThatClosesAMomentLaterShowsNothing)
{
    for (const std::size_t left : {0U, 1U}) {
        BOOST_TEST_CONTEXT(left << " of 2 are left")
        {
            Fixture f;
            f.openConnections = 2;
            f.start();
            f.openConnections = left;
            f.pass(milliseconds(4));
            f.answerConnection(false);
            f.pass(milliseconds(4));
            f.answerConnection(false);
            BOOST_TEST(f.result->evidence == ProcessEvidence::NoConnection);
            BOOST_TEST(!f.result->isRunning());
        }
    }
}

BOOST_AUTO_TEST_CASE(newConnectionShowsThatTheProcessGoesOn)
{
    Fixture f;
    f.start();
    BOOST_TEST(f.holdTime == milliseconds(4));
    f.pass(milliseconds(4));
    f.answerConnection(true);
    BOOST_TEST(f.result->evidence == ProcessEvidence::NewConnection);
    BOOST_TEST(f.result->age == milliseconds(4));
    BOOST_TEST(f.result->isRunning());
}

/// Guards against an endpoint that is taken for ended as it resets connections beyond its limit.
BOOST_AUTO_TEST_CASE(endpointThatResetsNewConnectionsGoesOn)
{
    Fixture f;
    f.start();
    f.answerConnection(false);
    f.pass(milliseconds(4));
    BOOST_TEST((f.holdTime == Base::Duration::zero()));
    f.answerConnection(true);
    BOOST_TEST(f.result->evidence == ProcessEvidence::NewConnection);
}

/// Guards against the next process at the same address being taken for the one that has ended: the
/// connection is accepted late, or the router reads the close late.
BOOST_AUTO_TEST_CASE(lateConnectionShowsNothing)
{
    for (const bool isReadLate : {false, true}) {
        BOOST_TEST_CONTEXT("read late: " << isReadLate)
        {
            Fixture f;
            f.eventAge = isReadLate ? milliseconds(48) : milliseconds(0);
            f.start();
            f.pass(isReadLate ? milliseconds(2) : milliseconds(50));
            f.answerConnection(true);
            BOOST_TEST(f.result->evidence == ProcessEvidence::LateConnection);
            BOOST_TEST(!f.result->isRunning());
        }
    }
}

BOOST_AUTO_TEST_CASE(endOfAnAnswerIsJudgedByWhatMarksIt)
{
    using Http::Framing;
    struct Case
    {
        const char *name;
        ReceivedEnd received;
        AnswerEnd end;
    };
    const std::vector<Case> cases = {
        {"incomplete body", {.framing = Framing::Chunked}, AnswerEnd::Broken},
        {"length", {.isBodyComplete = true, .framing = Framing::Length}, AnswerEnd::Complete},
        {"unframed", {.isBodyComplete = true, .framing = Framing::Connection}, AnswerEnd::Unmarked},
        {"chunked stream",
         {.isBodyComplete = true, .framing = Framing::Chunked, .isStreaming = true},
         AnswerEnd::Complete},
        {"chunked stream, inside an event",
         {.isBodyComplete = true,
          .framing = Framing::Chunked,
          .isStreaming = true,
          .hasEvents = true,
          .incompleteEventBytes = 1},
         AnswerEnd::Broken},
        {"unframed stream",
         {.isBodyComplete = true,
          .framing = Framing::Connection,
          .isStreaming = true,
          .hasEvents = true},
         AnswerEnd::Unmarked},
        {"unframed stream, inside an event",
         {.isBodyComplete = true,
          .framing = Framing::Connection,
          .isStreaming = true,
          .hasEvents = true,
          .incompleteEventBytes = 1},
         AnswerEnd::Broken},
        {"unframed stream without events",
         {.isBodyComplete = true, .framing = Framing::Connection, .isStreaming = true},
         AnswerEnd::Broken},
        {"the same, which goes on",
         {.isBodyComplete = true,
          .framing = Framing::Connection,
          .isStreaming = true,
          .goesOn = true},
         AnswerEnd::Unmarked},
    };
    for (const Case &one : cases)
        BOOST_TEST_CONTEXT(one.name)
        {
            BOOST_TEST(answerEnd(one.received) == one.end);
        }
}
