#define BOOST_TEST_MODULE tst_partquarantine
#include <boost/test/unit_test.hpp>

#include "gateway/partquarantine.h"
#include "runtime/clock.h"

#include <vector>

using namespace Lagoonbank;
using Gateway::PartHash;
using Gateway::PartQuarantine;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const PartHash part(20);

/// A router that notices crashes of requests with one part, one in a second.
struct Fixture
{
    Fixture()
    {
        quarantine.ask = [this](const auto &questions) {
            asked += static_cast<int>(questions.size());
            lastQuestion = questions.front();
            return mayAsk;
        };
        quarantine.decided = [this](const auto &, const auto &) { ++decisions; };
        quarantine.released = [this](PartHash) { ++releases; };
    }
    void crash()
    {
        pass(seconds(1));
        ++requests;
        quarantine.crashed({{.part = part,
                             .request = Gateway::RequestFingerprint(requests),
                             .endpoint = requests,
                             .at = clock.now()}});
    }
    void crashThrice()
    {
        for (int i = 0; i < 3; ++i)
            crash();
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }
    bool isQuarantined() const { return quarantine.timeLeft(part).has_value(); }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    PartQuarantine quarantine{{.timers = &timers}};
    std::uint64_t requests = 0;
    bool mayAsk = true;
    int asked = 0;
    int decisions = 0;
    int releases = 0;
    Gateway::PartQuestion lastQuestion;
};

} // namespace

BOOST_AUTO_TEST_CASE(suspectIsQuarantinedIfNoPeerObjects)
{
    Fixture f;
    f.crashThrice();
    BOOST_TEST(f.asked == 1);
    BOOST_TEST((f.lastQuestion.within == seconds(2)));
    BOOST_TEST(!f.isQuarantined());
    f.pass(milliseconds(250));
    BOOST_TEST(f.isQuarantined());
    BOOST_TEST(f.decisions == 1);
    f.pass(minutes(10));
    BOOST_TEST(!f.isQuarantined());
}

/// Failure: sound parts are blamed as nobody could object, since so many crashes were reported that
/// no budget was left to ask.
BOOST_AUTO_TEST_CASE(suspectIsNotBlamedBeforePeersWereAsked)
{
    Fixture f;
    f.mayAsk = false;
    f.crashThrice();
    f.pass(milliseconds(250));
    f.pass(milliseconds(250));
    BOOST_TEST(!f.isQuarantined());
    f.mayAsk = true;
    f.pass(milliseconds(250));
    f.pass(milliseconds(250));
    BOOST_TEST(f.isQuarantined());
}

/// Failure: a part is blamed though another router has served it between the crashes.
BOOST_AUTO_TEST_CASE(answerOfAPeerAcquits)
{
    Fixture f;
    f.crashThrice();
    f.quarantine.beginReceived({.part = part, .age = milliseconds(500)});
    f.pass(seconds(1));
    BOOST_TEST(!f.isQuarantined());
}

/// The answer was delayed by more than the wait.
BOOST_AUTO_TEST_CASE(lateAnswerOfAPeerEndsTheQuarantine)
{
    Fixture f;
    f.crashThrice();
    f.pass(milliseconds(250));
    BOOST_REQUIRE(f.isQuarantined());
    f.quarantine.beginReceived({.part = part, .age = seconds(1)});
    BOOST_TEST(!f.isQuarantined());
    BOOST_TEST(f.releases == 1);
}

/// Requests that were at endpoints already, or at routers that did not know, show what is true.
BOOST_AUTO_TEST_CASE(answerThatBeginsEndsTheQuarantine)
{
    Fixture f;
    f.crashThrice();
    f.pass(milliseconds(250));
    f.quarantine.begun({part});
    BOOST_TEST(!f.isQuarantined());
    BOOST_TEST(f.releases == 1);
    f.quarantine.quarantineReceived({.part = part, .remaining = minutes(9)});
    BOOST_TEST(!f.isQuarantined()); // A peer that has not heard of the answer.
}

BOOST_AUTO_TEST_CASE(begunAnswerEndsOnlyEarlierQuarantinesOfPeers)
{
    Fixture f;
    f.quarantine.begun({part});
    f.pass(minutes(2));
    BOOST_TEST(
        f.quarantine.quarantineReceived({.part = part, .remaining = minutes(9)}).has_value());
    f.quarantine.beginReceived({.part = part, .age = seconds(90)});
    BOOST_TEST(f.isQuarantined());
    f.quarantine.beginReceived({.part = part, .age = seconds(10)});
    BOOST_TEST(!f.isQuarantined());
    BOOST_TEST(f.releases == 0); // The router that decided tells all.
}

BOOST_AUTO_TEST_CASE(questionsOfPeersAreAnsweredFromMemory)
{
    Fixture f;
    BOOST_TEST(!f.quarantine.answer({.part = part, .within = seconds(9)}).has_value());
    f.quarantine.begun({part});
    f.pass(seconds(5));
    BOOST_TEST(!f.quarantine.answer({.part = part, .within = seconds(4)}).has_value());
    const auto begin = f.quarantine.answer({.part = part, .within = seconds(9)});
    BOOST_REQUIRE(begin.has_value());
    BOOST_TEST((begin->age == seconds(5)));
}

BOOST_AUTO_TEST_CASE(historyKeepsThePartsUsedLast)
{
    Gateway::PartHistory history({.minParts = 100});
    for (std::uint64_t i = 0; i < 1000; ++i) {
        history.record(PartHash(i), Base::MonoTime() + seconds(i));
        history.record(PartHash(5), Base::MonoTime() + seconds(i));
    }
    BOOST_TEST(!history.lastBegin(PartHash(1)).has_value());
    BOOST_TEST(history.lastBegin(PartHash(950)).has_value());
    BOOST_TEST((history.lastBegin(PartHash(5)) == Base::MonoTime() + seconds(999)));
}
