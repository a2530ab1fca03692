#define BOOST_TEST_MODULE tst_weightstoreclient
#include <boost/test/unit_test.hpp>

#include "fakeplatform.h"
#include "platformclient/weightstoreclient.h"

using namespace Lagoonbank;
using namespace std::chrono_literals;
using Errors::ErrorKind;

namespace {

struct Fixture
{
    FakePlatform platform;
    PlatformClient::WeightStoreClient client{
        {.transport = platform.transport(), .timers = &platform.timers}};
    std::vector<Errors::Result<Base::Bytes>> results;

    void fetch(const std::string &model)
    {
        client.fetch(Base::ModelId(model), "7",
                     [this](const auto &result) { results.push_back(result); });
        platform.advance(1ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(waitsForRetryAfterOfTheStore, Fixture)
{
    fetch("hints");
    fetch("tags");
    BOOST_TEST(platform.answer(429, "", {{"retry-after", "3"}}).target == "/weights/hints/7");
    platform.advance(2900ms);
    BOOST_TEST(platform.calls.empty());
    platform.advance(200ms);
    BOOST_REQUIRE(platform.calls.size() == 1);
    platform.answer(200, "", {{"x-weight-bytes", "12"}});
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST(results[0].value() == Base::Bytes(12));
    platform.advance(1ms);
    BOOST_TEST(platform.answer(404, "").target == "/weights/tags/7");
    BOOST_TEST((results.at(1).error().kind == ErrorKind::NotFound));
}

BOOST_FIXTURE_TEST_CASE(failsAtDeadline, Fixture)
{
    fetch("hints");
    for (int i = 0; i < 200 && results.empty(); ++i) {
        platform.advance(500ms);
        while (!platform.calls.empty())
            platform.loseAnswer();
    }
    BOOST_REQUIRE(results.size() == 1);
    BOOST_TEST((results[0].error().kind == ErrorKind::DeadlinePassed));
}

BOOST_FIXTURE_TEST_CASE(rejectsNamesThatArePaths, Fixture)
{
    for (const char *model : {"../vms", "a/b", "", "..", "a?b"})
        fetch(model);
    BOOST_TEST(results.size() == 5);
    BOOST_TEST(platform.calls.empty());
}
