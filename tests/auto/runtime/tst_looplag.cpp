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

/// Simulates a loop whose polls wait, and whose callbacks run, for given times.
struct Fixture
{
    Fixture()
    {
        lag.sampled = [this](const LoopLag::Statistics &statistics) {
            samples.push_back(statistics);
        };
        lag.lagStarted = [this](const LoopLag::Statistics &statistics) {
            starts.push_back(statistics);
        };
        lag.lagEnded = [this](const LoopLag::Statistics &statistics) {
            ends.push_back(statistics);
        };
    }
    void poll(Base::Duration wait, Base::Duration work)
    {
        lag.beginPoll(wait > Base::Duration::zero());
        clock.advance(wait);
        clock.advance(work);
        processorTime += work / 4;
        lag.endPoll(wait);
    }
    /// One iteration; with a wait, its events arrive at the end of that wait.
    void iterate(Base::Duration wait, Base::Duration work)
    {
        poll(wait, work);
        lag.endIteration();
    }

    ManualClock clock;
    Base::Duration processorTime{};
    Base::Duration pollWait{};
    LoopLag lag{{.clock = &clock,
                 .processorTime = [this] { return processorTime; },
                 .pollWait = [this] { return pollWait; }}};
    std::vector<LoopLag::Statistics> samples;
    std::vector<LoopLag::Statistics> starts;
    std::vector<LoopLag::Statistics> ends;
};

constexpr Base::Duration noTime{};

} // namespace

BOOST_FIXTURE_TEST_CASE(waitIsNotLag, Fixture)
{
    iterate(milliseconds(500), noTime);
    BOOST_TEST((lag.current() == noTime));
    lag.beginPoll(true);
    pollWait = milliseconds(300);
    clock.advance(milliseconds(307));
    // The callbacks of this poll have taken 7 ms so far.
    BOOST_TEST((lag.current() == milliseconds(7)));
}

BOOST_FIXTURE_TEST_CASE(eventsMayBeAsOldAsThePreviousIteration, Fixture)
{
    iterate(milliseconds(500), milliseconds(80));
    lag.beginPoll(false);
    clock.advance(milliseconds(20));
    BOOST_TEST((lag.current() == milliseconds(100)));
    lag.endPoll(noTime);
    lag.endIteration();
    iterate(noTime, milliseconds(30));
    BOOST_TEST((lag.current() == milliseconds(50)));
}

BOOST_FIXTURE_TEST_CASE(reportsStallOnceWithStatistics, Fixture)
{
    for (const int stallMs : {50, 200, 600, 2000}) {
        BOOST_TEST_CONTEXT("stall of " << stallMs << " ms")
        {
            starts.clear();
            ends.clear();
            iterate(milliseconds(5), milliseconds(stallMs));
            iterate(noTime, milliseconds(1));
            const std::size_t reports = stallMs >= 200 ? 1 : 0;
            BOOST_TEST(starts.size() == reports);
            BOOST_TEST(lag.isLagging() == (reports == 1));
            for (int i = 0; i < 300; ++i)
                iterate(milliseconds(5), milliseconds(1));
            BOOST_TEST(ends.size() == reports);
            BOOST_TEST(!lag.isLagging());
            if (reports == 0)
                continue;
            BOOST_TEST((starts.front().longestIteration >= milliseconds(stallMs)));
            BOOST_TEST((ends.front().maxLag >= milliseconds(stallMs)));
            BOOST_TEST(ends.front().processorShare() == 0.25, boost::test_tools::tolerance(0.01));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(reportsFluctuatingLagOnce, Fixture)
{
    for (int i = 0; i < 100; ++i) {
        iterate(noTime, milliseconds(210));
        iterate(milliseconds(40), noTime);
    }
    BOOST_TEST(starts.size() == 1U);
    BOOST_TEST(ends.empty());
}

BOOST_FIXTURE_TEST_CASE(samplesBusyAndProcessorTimeEachSecond, Fixture)
{
    for (int i = 0; i < 100; ++i)
        iterate(milliseconds(5), milliseconds(15));
    BOOST_REQUIRE(!samples.empty());
    const LoopLag::Statistics &sample = samples.front();
    BOOST_TEST((sample.elapsed == milliseconds(1000)));
    BOOST_TEST((sample.busyTime == milliseconds(750)));
    BOOST_TEST(sample.processorShare() == 0.25, boost::test_tools::tolerance(0.01));
    BOOST_TEST(sample.iterations == 50U);
}

BOOST_FIXTURE_TEST_CASE(processorTimeIsLimitedToBusyTime, Fixture)
{
    for (int i = 0; i < 300; ++i) {
        iterate(milliseconds(5), milliseconds(5));
        processorTime += milliseconds(10); // Some systems count waiting as processor time.
    }
    BOOST_REQUIRE(!samples.empty());
    BOOST_TEST((samples.back().processorTime == samples.back().busyTime));
    BOOST_TEST(samples.back().processorShare() == 1.0);
}

/// Runs a real loop on the system clock: the wait of the poll is not counted, its callback is.
BOOST_AUTO_TEST_CASE(realLoopExcludesItsWait)
{
    constexpr Base::Duration wait = milliseconds(60);
    constexpr Base::Duration work = milliseconds(30);
    Loop loop;
    std::array<int, 2> pipeEnds{};
    BOOST_REQUIRE_EQUAL(pipe(pipeEnds.data()), 0);
    std::vector<Base::Duration> iterations;
    Base::Duration lagInCallback{};
    loop.lag().iterationFinished = [&](Base::Duration duration) { iterations.push_back(duration); };
    loop.watchReadable(pipeEnds[0], [&] {
        char byte = 0;
        BOOST_REQUIRE_EQUAL(read(pipeEnds[0], &byte, 1), 1);
        std::this_thread::sleep_for(work);
        lagInCallback = loop.lag().current();
    });
    std::thread writer([&] {
        std::this_thread::sleep_for(wait);
        BOOST_REQUIRE_EQUAL(write(pipeEnds[1], "x", 1), 1);
    });
    while (lagInCallback == noTime)
        loop.runOnce(std::chrono::seconds(10));
    writer.join();
    BOOST_TEST((lagInCallback >= work - milliseconds(2)));
    BOOST_TEST((iterations.back() >= work - milliseconds(2)));
    // On a busy machine the callback may take longer than its sleep, but neither has the wait.
    BOOST_TEST((iterations.back() - lagInCallback < wait / 2));
    loop.unwatch(pipeEnds[0]);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}
