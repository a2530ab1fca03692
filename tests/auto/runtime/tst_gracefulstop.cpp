#define BOOST_TEST_MODULE tst_gracefulstop
#include <boost/test/unit_test.hpp>

#include "runtime/clock.h"
#include "runtime/gracefulstop.h"

#include <chrono>
#include <string>

using namespace Lagoonbank;

namespace {

struct Fixture
{
    void pass(Base::Duration duration)
    {
        constexpr Base::Duration step = std::chrono::milliseconds(10);
        for (auto left = duration; left > left.zero(); left -= step) {
            clock.advance(step);
            timers.runDue();
        }
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    std::string steps;
    bool isIdle = false;
    Runtime::GracefulStop stop{{.timers = &timers,
                                .noticeTime = std::chrono::seconds(3),
                                .timeout = std::chrono::seconds(7),
                                .announce = [this] { steps += "announce "; },
                                .stopAccepting = [this] { steps += "close "; },
                                .isIdle = [this] { return isIdle; },
                                .stopped = [this] { steps += "stopped"; }}};
};

} // namespace

BOOST_AUTO_TEST_CASE(servesNewRequestsDuringNoticeTime)
{
    Fixture f;
    f.isIdle = true;
    f.stop.begin();
    f.pass(std::chrono::milliseconds(2900));
    BOOST_TEST(f.steps == "announce ");
    f.pass(std::chrono::milliseconds(200));
    BOOST_TEST(f.steps == "announce close stopped");
}

BOOST_AUTO_TEST_CASE(waitsForRequestsInFlight)
{
    Fixture f;
    f.stop.begin();
    f.pass(std::chrono::seconds(5));
    BOOST_TEST(f.steps == "announce close ");
    f.isIdle = true;
    f.pass(std::chrono::milliseconds(100));
    BOOST_TEST(f.steps == "announce close stopped");
}

BOOST_AUTO_TEST_CASE(stopsAtTimeoutWithRequestsInFlight)
{
    Fixture f;
    f.stop.begin();
    f.stop.begin();
    f.pass(std::chrono::milliseconds(6950));
    BOOST_TEST(f.steps == "announce close ");
    f.pass(std::chrono::milliseconds(100));
    BOOST_TEST(f.steps == "announce close stopped");
}
