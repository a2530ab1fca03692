#define BOOST_TEST_MODULE tst_partitionedrouter
#include "auto/adapter/partitionedrouter.h"

#include <string>

using namespace Lagoonbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against refusals by a router that is partitioned from all endpoints while its peers reach
// them: callers, the store and the peers still reach the router, so callers keep coming to it.

/// Guards against a router that refuses requests which its peers could serve.
BOOST_AUTO_TEST_CASE(requestsAtAPartitionedRouterAreServedByAPeer)
{
    PartitionedRouter f;
    BOOST_TEST(has(f.call(1), "200 OK"));
    f.call(0); // Finds out that no endpoint is reachable.
    f.pass(seconds(1));
    int served = 0;
    for (int i = 0; i < 20; ++i)
        served += has(f.call(0), "200 OK") ? 1 : 0;
    BOOST_TEST(served == 20);
}

/// Guards against fields between routers that reach callers or endpoints.
BOOST_AUTO_TEST_CASE(relayedAnswerIsThatOfTheEndpoint)
{
    PartitionedRouter f;
    f.call(0);
    f.pass(seconds(1));
    const std::string answer = f.call(0, "lagoonbank-relayed-endpoints: 9\r\n");
    BOOST_TEST(has(answer, "200 OK"));
    BOOST_TEST(has(answer, "lagoonbank-server-seal: 3e"));
    BOOST_TEST(!has(answer, "relay"));
}

/// Guards against requests that go round, or wait, while no router reaches an endpoint.
BOOST_AUTO_TEST_CASE(requestIsRefusedAtOnceIfNoRouterReachesAnEndpoint)
{
    PartitionedRouter f(true);
    f.call(0);
    f.call(1);
    f.pass(seconds(1));
    for (int i = 0; i < 5; ++i) {
        const Base::MonoTime before = f.clock.now();
        const std::string answer = f.call(0);
        BOOST_TEST(has(answer, "503"));
        BOOST_TEST(has(answer, "retry-after"));
        BOOST_TEST((f.clock.now() - before < milliseconds(100)));
    }
}
