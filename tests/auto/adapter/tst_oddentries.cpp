#define BOOST_TEST_MODULE tst_oddentries
#include "auto/adapter/jsonobject.h"
#include "auto/adapter/onerouter.h"
#include "auto/adapter/routerfleet.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

// Records of other writers in the topics that routers read. None may end a router or stop it from
// following its topic.

using namespace Lagoonbank;
using std::string_literals::operator""s;

namespace {

std::string entry(const std::string &field, const std::string &value)
{
    std::map<std::string, std::string> fields{
        {"service", R"("s")"}, {"address", R"("127.0.0.1:9")"},
        {"zone", R"("dc0")"},  {"version", R"("v1")"},
        {"slots", "4"},        {"state", R"("ready")"},
        {"seq", "1"},          {"warmup_left_ms", "0"},
        {"born", "1"}};
    fields[field] = value;
    return jsonObject(fields);
}

/// Records among those of the endpoints. None names an endpoint that can be used.
std::vector<std::pair<std::string, std::string>> oddEndpointRecords()
{
    return {{"a&b", "{}"},
            {"a b", "{}"},
            {"a%2", "{}"},
            {"a#b", "{}"},
            {"a\r\nx: y", "{}"},
            {"a\"b", "{}"},
            {"\xff\xfe", "{}"},
            {"\0"s, "{}"},
            {"", "{}"},
            {"", entry("slots", "4")},
            {std::string(200, 'k'), "{}"},
            {std::string(200, 'l'), entry("slots", "4")},
            {"o-1", std::string(100000, '[')},
            {"o-2", std::string(50000, '[') + std::string(50000, ']')},
            {"o-3", entry("born", "9223372036854775807")},
            {"o-4", entry("slots", "99999999999")},
            {"o-5", entry("address", R"("127.0.0.1:70000")")},
            {"o-6", entry("address", R"("127.0.0.1:0")")},
            {"o-7", entry("address", R"("127.0.0.1\u0000)" + std::string(60, 'x') + R"(:80")")},
            {"o-8", entry("version", jsonString(100))},
            {"o-9", entry("zone", jsonString(100))},
            {"o-10", entry("service", jsonString(1000))},
            {"o-11", entry("warmup_left_ms", "1e999")},
            {"o-12", "\xff\xfe\x00"s},
            {"o-13", entry("state", jsonString(100000))}};
}

} // namespace

/// A key that is put into the query as it is makes the next page of a listing begin elsewhere, so
/// that the listing never ends and the router gets no endpoints.
BOOST_AUTO_TEST_CASE(listingContinuesAfterOddKeys)
{
    for (const std::string &key :
         {"a&topic=x"s, "a b"s, "a%2"s, "a#b"s, "a\r\nx: y"s, "a\"b"s, ""s}) {
        BOOST_TEST_CONTEXT(key)
        {
            OneRouter f(1);
            f.store.pageSize = 1;
            f.store.write("keyed.servers", key, "{}");
            f.store.write("keyed.servers", "z", "{}");
            f.pass(std::chrono::seconds(2));
            // The router lists the topic anew at its start.
            f.router.reset();
            f.router = std::make_unique<Platform::RouterProcess>(f.loop, f.settings);
            BOOST_REQUIRE(f.router->start());
            f.pass(std::chrono::seconds(3));
            BOOST_TEST(has(f.call(), "HTTP/1.1 200"));
        }
    }
}

/// Entries that could not be passed on made all messages between routers fail, so that those which
/// do not read the store kept the endpoints that had gone.
BOOST_AUTO_TEST_CASE(allRoutersFollowBehindOddEntries)
{
    Test::RouterFleet f(3);
    f.crashesOn = [](const std::string &) { return false; };
    for (const auto &[key, value] : oddEndpointRecords())
        f.store.write("keyed.servers", key, value);
    f.pass(std::chrono::seconds(3));
    for (const auto &engine : f.engines)
        f.store.write("keyed.servers", engine->id, {});
    f.pass(std::chrono::seconds(3));
    f.engines.clear();
    f.addEngine();
    f.addEngine();
    f.pass(std::chrono::seconds(3));
    for (int router = 0; router < 3; ++router) {
        for (int i = 0; i < 4; ++i)
            BOOST_TEST(has(f.attempt(router), "HTTP/1.1 200"), router);
    }
    // A router that starts lists the topic in place of following it.
    f.start(3);
    BOOST_REQUIRE(f.isReady());
    f.pass(std::chrono::seconds(2));
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(has(f.attempt(3), "HTTP/1.1 200"));
}

/// More drains than fit into a message between routers made all of them fail.
BOOST_AUTO_TEST_CASE(allRoutersFollowBehindManyDrains)
{
    Test::RouterFleet f(3);
    f.crashesOn = [](const std::string &) { return false; };
    for (int i = 0; i < 200; ++i)
        f.store.write("keyed.op", "evacuate/odd-" + std::to_string(i), "{}");
    f.store.write("keyed.op", "evacuate/", "{}");
    f.store.write("keyed.op", "evacuate/" + std::string(200, 'x'), "{}");
    f.store.write("keyed.op", "odd", std::string(100000, '['));
    f.pass(std::chrono::seconds(3));
    f.store.writeRoute(8, "/q/");
    f.pass(std::chrono::seconds(3));
    for (int router = 0; router < 3; ++router) {
        BOOST_TEST(has(f.attempt(router, "/q/1"), "HTTP/1.1 200"), router);
        BOOST_TEST(has(f.attempt(router, "/p/1"), "HTTP/1.1 404"), router);
    }
}

/// Records in the topics that routers write must not keep a router from starting.
BOOST_AUTO_TEST_CASE(routerStartsBehindOddRecordsOfItsOwnTopics)
{
    Test::RouterFleet f(2);
    f.crashesOn = [](const std::string &) { return false; };
    const std::vector<std::pair<std::string, std::string>> odd{
        {"", "x"},
        {"a&b c%#", "x"},
        {"\xff\xfe", "x"},
        {"edge-0", "dc0"},
        {"edge-9", "dc0 127.0.0.1:0 1"},
        {"edge-8", "dc0 127.0.0.1:70000 1"},
        {"edge-7", " 127.0.0.1:9 4294967295"},
        {"edge-6", std::string(1000, 'd') + " 127.0.0.1:9 4294967295"},
        {std::string(200, 'r'), "dc0 127.0.0.1:9 4294967295"},
        {"part-", "1"},
        {"part-zz", "1"},
        {"0x12", "1"},
        {"12", std::string(100000, '[')},
        {"era", "x"},
        {"era", "99999999999999999999"},
        {"software-", "s"},
        {"software-zz", "s"},
        {"software-0000000000000012", std::string(1000, 's')},
        {"0000-00-4294967295", "x"},
        {"0000-00-0", std::string(50000, '\xff')},
        {"0000-", "\x01\x4a\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"s}};
    for (const char *topic : {"keyed.lagoonbank-routers", "keyed.lagoonbank-quarantine",
                              "keyed.lagoonbank-software", "keyed.lagoonbank-streams"}) {
        for (const auto &[key, value] : odd)
            f.store.write(topic, key, value);
    }
    f.pass(std::chrono::seconds(3));
    f.start(2);
    f.restart(0);
    f.pass(std::chrono::seconds(5));
    BOOST_REQUIRE(f.isReady());
    for (int router = 0; router < 3; ++router)
        BOOST_TEST(has(f.attempt(router), "HTTP/1.1 200"), router);
}
