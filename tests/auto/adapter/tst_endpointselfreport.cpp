#define BOOST_TEST_MODULE tst_endpointselfreport
#include "auto/adapter/onerouter.h"

#include <string>

using namespace Lagoonbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against this failure: routers sent requests to an endpoint for 6 s after its answers had
// reported that it was leaving, and to full endpoints before the end of their Retry-After time.
// Routers evaluated only the endpoint's entry in the store, which could not be updated as the store
// was down (it was written 13 s late), and ignored what endpoints report in their answers. Reading
// the answers is not enough: the entry expires during the outage and is written again afterwards,
// and the router then must not discard the reported state together with the old entry.

namespace {

/// Maximum time from the report that an endpoint is leaving to the last request that it gets.
constexpr auto drainTime = seconds(2);

} // namespace

BOOST_AUTO_TEST_CASE(leavingEndpointGetsNoNewRequests)
{
    OneRouter f(2);
    Engine &leaving = *f.engines[0];
    leaving.extraHeaders = "Server-Leaving: 1\r\n";
    f.reach(leaving);
    f.store.isUp = false; // The endpoint's entry cannot be updated.
    f.pass(drainTime);
    BOOST_TEST(f.reaching(leaving, 20) == 0);
    f.store.isUp = true;
    f.write(0); // A delayed entry from before the report.
    f.pass(seconds(2));
    BOOST_TEST(f.reaching(leaving, 20) == 0);
}

/// Entries expire while the store is down and are written again after the outage.
BOOST_AUTO_TEST_CASE(leavingStateOutlastsTheEntryUntilARestart)
{
    OneRouter f(2);
    Engine &leaving = *f.engines[0];
    leaving.extraHeaders = "Server-Leaving: 1\r\n";
    f.reach(leaving);
    f.store.write("keyed.servers", "i-0", ""); // Without a value the key is dropped.
    f.pass(seconds(8));
    f.write(0);
    f.pass(seconds(2));
    BOOST_TEST(f.reaching(leaving, 20) == 0);
    leaving.extraHeaders.clear();
    f.write(0, {.startedAt = 2}); // The endpoint has restarted.
    f.pass(seconds(2));
    BOOST_TEST(f.reaching(leaving, 20) > 0);
}

/// Even if no other endpoint is available: callers get a Retry-After header instead.
BOOST_AUTO_TEST_CASE(retryAfterOfAnEndpointIsObserved)
{
    OneRouter f(1);
    Engine &full = *f.engines[0];
    f.reach(full);
    full.status = "503 Service Unavailable";
    full.extraHeaders = "Lagoonbank-Not-Executed: 1\r\nRetry-After: 3\r\n";
    BOOST_TEST(has(f.call(), "HTTP/1.1 503"));
    f.pass(milliseconds(600));
    const int before = full.requests;
    for (int i = 0; i < 10; ++i) {
        const std::string answer = f.call();
        BOOST_TEST(has(answer, "HTTP/1.1 503"));
        BOOST_TEST(has(answer, "retry-after: "));
        f.pass(milliseconds(200));
    }
    BOOST_TEST(full.requests - before <= 2);
    full.status = "200 OK";
    full.extraHeaders.clear();
    f.pass(milliseconds(500));
    BOOST_TEST(has(f.call(), "HTTP/1.1 200"));
}
