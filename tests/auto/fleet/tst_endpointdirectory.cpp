#define BOOST_TEST_MODULE tst_endpointdirectory
#include <boost/test/unit_test.hpp>

#include "fleet/endpointdirectory.h"
#include "runtime/clock.h"

#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Fleet;

namespace {

Endpoint endpoint(const std::string &id, EndpointState state = EndpointState::Ready)
{
    return {.id = Base::EndpointId(id),
            .service = Base::ServiceId("service"),
            .address = {"127.0.0.1", 80},
            .state = state};
}

struct Fixture
{
    Fixture()
    {
        directory.changed = [this](const Endpoint &one) { told += "+" + one.id.value(); };
        directory.removed = [this](const Endpoint &one) { told += "-" + one.id.value(); };
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    EndpointDirectory directory{{.timers = &timers}};
    std::string told;
};

} // namespace

BOOST_AUTO_TEST_CASE(changesAreToldOnce)
{
    Fixture f;
    f.directory.put(endpoint("a"));
    f.directory.put(endpoint("a"));
    f.directory.put(endpoint("a", EndpointState::Draining));
    f.directory.remove(Base::EndpointId("a"));
    f.directory.remove(Base::EndpointId("a"));
    BOOST_TEST(f.told == "+a+a-a");
    BOOST_TEST(!f.directory.find(Base::EndpointId("a")));
}

BOOST_AUTO_TEST_CASE(entriesThatLapsedWhileTheStoreWasAwayMayComeBack)
{
    Fixture f;
    f.directory.put(endpoint("back"));
    f.directory.put(endpoint("gone"));
    f.directory.put(endpoint("leaving", EndpointState::Draining));
    f.told.clear();
    f.directory.storeReturned();
    f.directory.remove(Base::EndpointId("back"));
    f.directory.remove(Base::EndpointId("gone"));
    f.directory.remove(Base::EndpointId("leaving"));
    BOOST_TEST(f.told == "-leaving");
    f.pass(std::chrono::seconds(2));
    f.directory.put(endpoint("back"));
    BOOST_TEST(f.told == "-leaving");
    f.pass(std::chrono::milliseconds(300));
    BOOST_TEST(f.told == "-leaving-gone");
    BOOST_TEST(f.directory.find(Base::EndpointId("back")));
}

BOOST_AUTO_TEST_CASE(laterAnEntryThatGoesIsGoneAtOnce)
{
    Fixture f;
    f.directory.put(endpoint("a"));
    f.directory.storeReturned();
    f.pass(std::chrono::seconds(3));
    f.directory.remove(Base::EndpointId("a"));
    BOOST_TEST(f.told == "+a-a");
}
