#define BOOST_TEST_MODULE tst_restoredstore
#include "auto/adapter/onerouter.h"

#include <memory>
#include <string>

using namespace Lagoonbank;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against this failure: after an outage the store came back as a copy that was some seconds
// old, and gave out offsets again. Routers judged by offsets what is new, and so ignored records
// for as long as the new log was shorter than the lost one, while they read it in a loop.

namespace {

/// Maximum time from the acknowledgement of a record to its effect on requests.
constexpr auto maxDelay = seconds(2);
/// Time in which operators and endpoints write again what was lost.
constexpr auto rewriteTime = seconds(2);

/// The store has lost several records of each topic, and its log is as long again as before once
/// the operators and endpoints have written further ones.
struct RestoredStore : OneRouter
{
    explicit RestoredStore(std::size_t engineCount)
        : OneRouter(engineCount)
    {
        store.saveCopy();
        for (int revision = 8; revision <= 10; ++revision)
            store.writeRoute(revision);
        for (int sequence = 2; sequence <= 4; ++sequence) {
            for (std::size_t i = 0; i < engineCount; ++i)
                write(i, {.slots = 4 + sequence, .sequence = sequence});
        }
        pass(seconds(1));
        store.goDown();
        pass(seconds(3));
        store.restoreCopy();
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(configurationWrittenAfterRestorationIsInForceInTime)
{
    RestoredStore f(1);
    f.store.writeRoute(10);
    f.pass(rewriteTime);
    f.store.writeRoute(11, "/added/");
    f.pass(maxDelay);
    BOOST_TEST(has(f.call("/added/1"), "HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(restoredStoreIsNotReadInALoop)
{
    RestoredStore f(1);
    f.store.writeRoute(10);
    f.pass(rewriteTime);
    const int callsBefore = f.store.calls;
    f.pass(seconds(1));
    BOOST_TEST(f.store.calls - callsBefore <= 5);
}

BOOST_AUTO_TEST_CASE(endpointThatDrainsAfterRestorationGetsNoRequestsInTime)
{
    RestoredStore f(2);
    for (const std::size_t engine : {0U, 1U})
        f.write(engine, {.sequence = 5});
    f.pass(rewriteTime);
    f.write(0, {.isDraining = true, .sequence = 6});
    f.pass(maxDelay);
    BOOST_TEST(f.reaching(*f.engines[0], 20) == 0);
}

/// The endpoint began to drain after the copy, which has its entry from before.
BOOST_AUTO_TEST_CASE(drainingEndpointGetsNoRequestsWhileItsOlderEntryIsRestored)
{
    OneRouter f(2);
    f.store.saveCopy();
    f.write(0, {.isDraining = true, .sequence = 2});
    f.pass(maxDelay);
    f.store.restoreCopy();
    for (int i = 0; i < 8; ++i) {
        f.pass(milliseconds(250));
        BOOST_TEST(f.reaching(*f.engines[0], 5) == 0);
    }
    f.write(0, {.isDraining = true, .sequence = 3});
    f.pass(maxDelay);
    BOOST_TEST(f.reaching(*f.engines[0], 20) == 0);
}

/// The configuration has been replaced since the copy, and is written again only later.
BOOST_AUTO_TEST_CASE(olderConfigurationOfARestoredStoreIsNotUsed)
{
    OneRouter f(1);
    f.store.saveCopy();
    f.store.writeRoute(8, "/added/");
    f.pass(maxDelay);
    f.store.restoreCopy();
    for (int i = 0; i < 8; ++i) {
        f.pass(milliseconds(250));
        BOOST_TEST(has(f.call("/added/1"), "HTTP/1.1 200"));
        BOOST_TEST(has(f.call("/p/1"), "HTTP/1.1 404"));
    }
}

BOOST_AUTO_TEST_CASE(endpointThatStartsAfterRestorationGetsRequestsInTime)
{
    RestoredStore f(1);
    f.write(0, {.sequence = 5});
    f.pass(rewriteTime);
    f.engines.push_back(std::make_unique<Engine>());
    f.write(1);
    f.pass(maxDelay);
    BOOST_TEST(f.reaching(*f.engines[1], 20) > 0);
}
