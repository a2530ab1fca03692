#define BOOST_TEST_MODULE tst_looplag
#include "runtime/clock.h"
#include "runtime/loop.h"
#include "runtime/looplag.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <array>
#include <thread>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Runtime;

namespace {

using std::chrono::milliseconds;

/// A loop in the test's hands: what its polls wait, and what their callbacks take.
struct Fixture
{
    Fixture()
    {
        lag.sampled = [this](const LoopLag::Figures &figures) { samples.push_back(figures); };
        lag.fellBehind = [this](const LoopLag::Figures &figures) { fell.push_back(figures); };
        lag.caughtUp = [this](const LoopLag::Figures &figures) { caught.push_back(figures); };
    }
    void poll(Base::Duration wait, Base::Duration work)
    {
        lag.pollBegins(wait > Base::Duration::zero());
        clock.advance(wait);
        clock.advance(work);
        processor += work / 4;
        lag.pollEnded(wait);
    }
    /// A turn that finds something only after a wait, if one is given.
    void turn(Base::Duration wait, Base::Duration work)
    {
        poll(wait, work);
        lag.turnEnded();
    }

    ManualClock clock;
    Base::Duration processor{};
    Base::Duration waited{};
    LoopLag lag{{.clock = &clock,
                 .processorTime = [this] { return processor; },
                 .waited = [this] { return waited; }}};
    std::vector<LoopLag::Figures> samples;
    std::vector<LoopLag::Figures> fell;
    std::vector<LoopLag::Figures> caught;
};

constexpr Base::Duration none{};

} // namespace

BOOST_FIXTURE_TEST_CASE(loopThatWaitedIsNotBehind, Fixture)
{
    turn(milliseconds(500), none);
    BOOST_TEST((lag.behind() == none));
    lag.pollBegins(true);
    waited = milliseconds(300);
    clock.advance(milliseconds(307));
    // The callbacks of this poll have taken 7 ms so far.
    BOOST_TEST((lag.behind() == milliseconds(7)));
}

BOOST_FIXTURE_TEST_CASE(workThatCameInTheTurnBeforeIsAsOldAsThatTurn, Fixture)
{
    turn(milliseconds(500), milliseconds(80));
    lag.pollBegins(false);
    clock.advance(milliseconds(20));
    BOOST_TEST((lag.behind() == milliseconds(100)));
    lag.pollEnded(none);
    lag.turnEnded();
    turn(none, milliseconds(30));
    BOOST_TEST((lag.behind() == milliseconds(50)));
}

BOOST_FIXTURE_TEST_CASE(aStallIsToldOnceWithItsFigures, Fixture)
{
    for (const int stallMs : {50, 200, 600, 2000}) {
        BOOST_TEST_CONTEXT("stall of " << stallMs << " ms")
        {
            fell.clear();
            caught.clear();
            turn(milliseconds(5), milliseconds(stallMs));
            turn(none, milliseconds(1));
            const std::size_t told = stallMs >= 200 ? 1 : 0;
            BOOST_TEST(fell.size() == told);
            BOOST_TEST(lag.isBehind() == (told == 1));
            for (int i = 0; i < 300; ++i)
                turn(milliseconds(5), milliseconds(1));
            BOOST_TEST(caught.size() == told);
            BOOST_TEST(!lag.isBehind());
            if (told == 0)
                continue;
            BOOST_TEST((fell.front().longestTurn >= milliseconds(stallMs)));
            BOOST_TEST((caught.front().mostBehind >= milliseconds(stallMs)));
            BOOST_TEST(caught.front().givenShare() == 0.25, boost::test_tools::tolerance(0.01));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(aLoopThatSwingsIsToldOfOnceASecondAtMost, Fixture)
{
    for (int i = 0; i < 100; ++i) {
        turn(none, milliseconds(210));
        turn(milliseconds(40), none);
    }
    BOOST_TEST(fell.size() == 1U);
    BOOST_TEST(caught.empty());
}

BOOST_FIXTURE_TEST_CASE(secondsAreSampledWithWhatWasWantedAndGiven, Fixture)
{
    for (int i = 0; i < 100; ++i)
        turn(milliseconds(5), milliseconds(15));
    BOOST_REQUIRE(!samples.empty());
    const LoopLag::Figures &second = samples.front();
    BOOST_TEST((second.wall == milliseconds(1000)));
    BOOST_TEST((second.wanted == milliseconds(750)));
    BOOST_TEST(second.givenShare() == 0.25, boost::test_tools::tolerance(0.01));
    BOOST_TEST(second.turns == 50U);
}

BOOST_FIXTURE_TEST_CASE(noMoreIsGivenThanWasWanted, Fixture)
{
    for (int i = 0; i < 300; ++i) {
        turn(milliseconds(5), milliseconds(5));
        processor += milliseconds(10); // A system that counts the wait too.
    }
    BOOST_REQUIRE(!samples.empty());
    BOOST_TEST((samples.back().processor == samples.back().wanted));
    BOOST_TEST(samples.back().givenShare() == 1.0);
}

/// On the machine's clock, through the event loop: its wait is not counted, its callback is.
BOOST_AUTO_TEST_CASE(waitsOfARealLoopAreToldFromItsWork)
{
    constexpr Base::Duration wait = milliseconds(60);
    constexpr Base::Duration work = milliseconds(30);
    Loop loop;
    std::array<int, 2> ends{};
    BOOST_REQUIRE_EQUAL(pipe(ends.data()), 0);
    std::vector<Base::Duration> turns;
    Base::Duration inCallback{};
    loop.lag().turned = [&](Base::Duration turn) { turns.push_back(turn); };
    loop.watchReadable(ends[0], [&] {
        char byte = 0;
        BOOST_REQUIRE_EQUAL(read(ends[0], &byte, 1), 1);
        std::this_thread::sleep_for(work);
        inCallback = loop.lag().behind();
    });
    std::thread writer([&] {
        std::this_thread::sleep_for(wait);
        BOOST_REQUIRE_EQUAL(write(ends[1], "x", 1), 1);
    });
    while (inCallback == none)
        loop.runOnce(std::chrono::seconds(10));
    writer.join();
    BOOST_TEST((inCallback >= work - milliseconds(2)));
    BOOST_TEST((turns.back() >= work - milliseconds(2)));
    // Beside load a callback may take longer than it sleeps, but the wait is in neither.
    BOOST_TEST((turns.back() - inCallback < wait / 2));
    loop.unwatch(ends[0]);
    close(ends[0]);
    close(ends[1]);
}
