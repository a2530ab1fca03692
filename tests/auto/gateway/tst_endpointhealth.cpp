/// Scenario: connections are reset in bulk, by a link or by an endpoint that accepts no more of
/// them. All answers of an endpoint to a router break at the same moment, although the endpoint is
/// as healthy as before.
#define BOOST_TEST_MODULE tst_endpointhealth
#include <boost/test/unit_test.hpp>

#include "gateway/endpointhealth.h"

#include "logging/boundedoutput.h"

#include <chrono>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;

namespace {

struct Fixture
{
    Fixture() { registry.put({.id = id, .service = Base::ServiceId("service")}, clock.now()); }
    void fail(int times, Base::Duration interval)
    {
        for (int i = 0; i < times; ++i) {
            health.answered(*registry.find(id), false, Base::RequestId("r"));
            clock.advance(interval);
        }
    }
    void answer() { health.answered(*registry.find(id), true, Base::RequestId("r")); }
    Routing::Suspicion::State state()
    {
        return registry.suspicion().state(registry.find(id)->index);
    }
    bool isHealthy() { return state() == Routing::Suspicion::State::Healthy; }

    const Base::EndpointId id{"e"};
    Runtime::ManualClock clock;
    Logging::BoundedOutput output{{.descriptor = -1}};
    Logging::DecisionLog log{{.output = &output,
                              .wallNow = [this] { return clock.wallNow(); },
                              .now = [this] { return clock.now(); }}};
    EndpointRegistry registry{{.suspicion = {.initialBackoff = milliseconds(500)}}};
    EndpointHealth health{{.registry = &registry, .clock = &clock, .log = &log}};
};

} // namespace

BOOST_AUTO_TEST_CASE(simultaneousFailuresDoNotMakeAnEndpointSuspect)
{
    Fixture f;
    f.fail(30, {});
    BOOST_TEST(f.isHealthy());
}

BOOST_AUTO_TEST_CASE(consecutiveFailuresMakeAnEndpointSuspect)
{
    Fixture f;
    f.fail(12, milliseconds(10));
    BOOST_TEST(!f.isHealthy());
}

/// Covers an endpoint whose connections are reset repeatedly, without any answer in between.
BOOST_AUTO_TEST_CASE(repeatedFailureBurstsMakeAnEndpointSuspect)
{
    Fixture f;
    for (int i = 0; i < 12; ++i) {
        f.fail(5, {});
        f.clock.advance(milliseconds(100));
    }
    BOOST_TEST(!f.isHealthy());
}

/// The failure of a trial request counts even if it is part of a burst.
BOOST_AUTO_TEST_CASE(trialThatFailsInABurstKeepsTheEndpointSuspect)
{
    Fixture f;
    f.fail(12, milliseconds(10));
    f.clock.advance(milliseconds(500));
    const auto index = f.registry.find(f.id)->index;
    BOOST_REQUIRE(f.registry.suspicion().admitsTrial(index, f.clock.now()));
    f.fail(1, {});
    f.registry.suspicion().noteTrialSent(index, f.clock.now());
    f.fail(1, {});
    BOOST_TEST((f.state() == Routing::Suspicion::State::Suspected));
    f.clock.advance(milliseconds(5000));
    BOOST_TEST(f.registry.suspicion().admitsTrial(index, f.clock.now()));
}

BOOST_AUTO_TEST_CASE(goodAnswersBetweenFailuresKeepTheEndpointHealthy)
{
    Fixture f;
    for (int i = 0; i < 12; ++i) {
        f.fail(1, milliseconds(10));
        f.answer();
        f.answer();
        f.answer();
    }
    BOOST_TEST(f.isHealthy());
}
