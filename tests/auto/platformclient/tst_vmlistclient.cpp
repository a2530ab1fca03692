#define BOOST_TEST_MODULE tst_vmlistclient
#include <boost/test/unit_test.hpp>

#include "fakeplatform.h"
#include "platformclient/vmlistclient.h"

using namespace Lagoonbank;
using namespace std::chrono_literals;

namespace {

std::string vm(const std::string &id, const std::string &address, const std::string &state)
{
    return R"({"id":")" + id + R"(","address":")" + address + R"(","data_centre":"dha","state":")"
        + state + "\"}";
}

std::string list(const std::string &vms)
{
    return "{\"vms\":[" + vms + "]}";
}

struct Fixture
{
    FakePlatform platform;
    PlatformClient::VmListClient client{
        {.transport = platform.transport(), .timers = &platform.timers}};
    std::vector<PlatformClient::VmChanges> changes;

    Fixture()
    {
        client.setChanged([this](const auto &change) { changes.push_back(change); });
        client.start();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(reportsChanges, Fixture)
{
    platform.answer(200, list(vm("b", "1:1", "live") + "," + vm("a", "2:2", "live")));
    BOOST_REQUIRE(changes.size() == 1);
    BOOST_TEST(changes[0].added.size() == 2);
    platform.advance(2s);
    platform.answer(200, list(vm("b", "1:1", "leaving") + "," + vm("c", "2:2", "live")));
    BOOST_REQUIRE(changes.size() == 2);
    BOOST_TEST(changes[1].added.at(0).id.value() == "c");
    BOOST_TEST(changes[1].changed.at(0).id.value() == "b");
    BOOST_TEST((changes[1].changed.at(0).state == PlatformClient::VmState::Leaving));
    BOOST_TEST(changes[1].removed.at(0).id.value() == "a");
    platform.advance(2s);
    platform.answer(200, list(vm("b", "1:1", "leaving") + "," + vm("c", "2:2", "live")));
    BOOST_TEST(changes.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(keepsLastListDuringOutagesAndMalformedAnswers, Fixture)
{
    platform.answer(200, list(vm("a", "1:1", "live")));
    const std::string malformed[] = {"", "{}", list(vm("a", "1:1", "gone")),
                                     list(vm("a", "1:1", "live") + "," + vm("a", "2:2", "live")),
                                     list(R"({"id":7})")};
    for (const std::string &body : malformed) {
        platform.advance(4s);
        BOOST_REQUIRE(platform.calls.size() == 1);
        platform.answer(200, body);
        BOOST_TEST(!client.isUp());
    }
    platform.advance(4s);
    platform.loseAnswer();
    BOOST_TEST(client.vms().size() == 1);
    BOOST_TEST(changes.size() == 1);
    platform.advance(4s);
    BOOST_TEST(platform.answer(200, list(vm("a", "1:1", "live"))).freshConnection);
    BOOST_TEST(client.isUp());
}
