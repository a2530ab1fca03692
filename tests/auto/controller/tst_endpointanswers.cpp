#define BOOST_TEST_MODULE EndpointAnswers
#include <boost/test/unit_test.hpp>

#include "controller/cachemover.h"
#include "controller/endpointanswers.h"
#include "routing/rendezvous.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Controller;

BOOST_AUTO_TEST_CASE(malformedAnswersAreErrors)
{
    const std::vector<std::string> bodies{
        "",
        "{",
        "[]",
        "null",
        "7",
        "{}",
        R"({"work": "7"})",
        R"({"work": -1})",
        R"({"work": 1e999})",
        R"({"work": 1, "age_ms": 99999999999999})",
        R"({"draining": 1})",
        R"({"events": {}})",
        R"({"events": [7]})",
        R"({"events": [{"op": "stored"}]})",
    };
    for (const std::string &body : bodies) {
        BOOST_TEST_CONTEXT(body)
        {
            BOOST_TEST(!readLoadAnswer(body));
            BOOST_TEST(!readStateAnswer(body));
            BOOST_TEST(!readCacheEvents(body));
        }
    }
}

BOOST_AUTO_TEST_CASE(validAnswersAreParsed)
{
    const auto load = readLoadAnswer(R"({"running": 2, "queued": 1, "work": 96.5, "age_ms": 30,
        "capacity": 8192, "incarnation": 17, "draining": true, "news": []})");
    BOOST_REQUIRE(load);
    BOOST_TEST(load.value().work.value() == 96.5);
    BOOST_TEST((load.value().sampleAge == std::chrono::milliseconds(30)));
    BOOST_TEST(load.value().running + load.value().queued == 3U);
    BOOST_TEST(load.value().isDraining);
    const auto state = readStateAnswer(R"({"model": "m", "version": "", "draining": false})");
    BOOST_REQUIRE(state);
    BOOST_TEST(state.value().settings.model.value() == "m");
    BOOST_TEST(!state.value().settings.role);
    BOOST_TEST(!state.value().isLoading);
}

BOOST_AUTO_TEST_CASE(hotChatsAreMostRecentlyStored)
{
    const auto name = [](std::uint64_t chat) { return Routing::chatName(chat); };
    const std::vector<CacheEvent> events{
        {name(1), {}, true}, {name(2), {}, true},    {name(3), {}, true},  {name(2), {}, false},
        {name(1), {}, true}, {"not/ours", {}, true}, {name(4), {}, false}, {name(5), {}, true}};
    BOOST_TEST((hotChats(events, 9) == std::vector<std::string>{name(5), name(1), name(3)}));
    BOOST_TEST((hotChats(events, 1) == std::vector<std::string>{name(5)}));
    BOOST_TEST(hotChats({}, 9).empty());
}
