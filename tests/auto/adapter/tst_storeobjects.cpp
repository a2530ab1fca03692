#define BOOST_TEST_MODULE tst_storeobjects
#include <boost/test/unit_test.hpp>

#include "platform/storeobjects.h"

#include <map>
#include <string>
#include <string_view>

using namespace Lagoonbank;

namespace {

constexpr std::string_view configuration = R"({"version":7,"routes":[
    {"name":"r1","host":"A.example","prefix":"/p/","kind":"streaming","timeout_ms":12000,
     "target_latency_ms":250,"priority":0,"service":"s1","max_attempts":1,"anonymous":false,
     "session_affinity":true,"resumable":false,"max_gap_ms":250},
    {"name":"r2","host":"a.example","prefix":"/q/","kind":"idempotent","timeout_ms":800,
     "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
     "max_attempts":2,"anonymous":true}],
    "services":[{"name":"s1","health_path":"/health","max_conns":610,
                 "warmup_s":3.0,"warmup_per_s":18.0,
                 "engine":{"slots":128,"kv_tokens":1001015,"stride":6}},
                {"name":"s2","health_path":"/health","max_conns":96}],
    "limits":{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000},
    "tenants":[{"name":"t1","keys":["k1","k2"],"priority":1},{"name":"t2","keys":["k3"]}]})";

} // namespace

BOOST_AUTO_TEST_CASE(decodesAConfiguration)
{
    const auto read = Platform::readConfiguration(configuration);
    BOOST_REQUIRE(read);
    const Fleet::Configuration &config = *read.value();
    BOOST_TEST(config.revision().value() == 7U);
    const Fleet::Route *first = config.findRoute("a.example", "/p/1");
    BOOST_REQUIRE(first);
    BOOST_TEST((first->kind == Fleet::RouteKind::Stream));
    BOOST_TEST(!first->mayRepeat());
    BOOST_TEST(first->usesPromptCache);
    BOOST_TEST((first->maxEventGap == std::chrono::milliseconds(250)));
    BOOST_TEST(first->services.at(0).service.value() == "s1");
    const Fleet::Route *second = config.findRoute("a.example", "/q/1");
    BOOST_REQUIRE(second);
    BOOST_TEST(second->mayRepeat());
    BOOST_TEST(second->isAnonymous);
    BOOST_TEST(second->services.size() == 2U);
    BOOST_TEST(second->maxEndpoints == 2);
    BOOST_REQUIRE(config.findService(Base::ServiceId("s1")));
    BOOST_TEST(config.findService(Base::ServiceId("s1"))->engine->slots == 128);
    BOOST_TEST(!config.findService(Base::ServiceId("s2"))->engine);
    const Fleet::Warmup &warmup = config.findService(Base::ServiceId("s1"))->warmup;
    BOOST_TEST((warmup.time == std::chrono::seconds(3)));
    BOOST_TEST(warmup.requestsPerSecond == 18);
    BOOST_TEST(config.findService(Base::ServiceId("s2"))->warmup.requestsPerSecond == 0);
    BOOST_TEST((config.limits().idleTimeout == std::chrono::seconds(15)));
    BOOST_REQUIRE(config.findWorkspace("k2"));
    BOOST_TEST((config.findWorkspace("k2")->priority == 1));
    BOOST_TEST(!config.findWorkspace("k3")->priority);
}

BOOST_AUTO_TEST_CASE(unreadableConfigurationIsAnError)
{
    for (const char *json :
         {"", "[]", "{", "{}", R"({"version":"x","routes":[]})", R"({"version":1})",
          R"({"version":1,"routes":[{"kind":"odd"}]})",
          R"({"version":1,"routes":[{"kind":"idempotent","timeout_ms":"soon"}]})"}) {
        const auto read = Platform::readConfiguration(json);
        BOOST_TEST(!read, json);
        if (!read)
            BOOST_TEST(!read.error().detail.empty());
    }
}

BOOST_AUTO_TEST_CASE(decodesAnEndpointEntry)
{
    const auto read = Platform::readEndpoint(
        "i-1",
        R"({"service":"s1","address":"10.1.0.9:8080","zone":"gulberg","version":"v1","slots":128,
            "state":"draining","warmup_left_ms":1500,"seq":4,"phase":"both"})");
    BOOST_REQUIRE(read);
    const Fleet::Endpoint &endpoint = read.value().endpoint;
    BOOST_TEST(read.value().sequence.value() == 4U);
    BOOST_TEST(endpoint.id.value() == "i-1");
    BOOST_TEST(endpoint.service.value() == "s1");
    BOOST_TEST(Runtime::toString(endpoint.address) == "10.1.0.9:8080");
    BOOST_TEST(endpoint.dataCentre.value() == "gulberg");
    BOOST_TEST(endpoint.slots == 128);
    BOOST_TEST((endpoint.state == Fleet::EndpointState::Draining));
    BOOST_TEST(endpoint.isWarmingUp);
}

BOOST_AUTO_TEST_CASE(unreadableEntryIsAnError)
{
    for (const char *json :
         {"", "{}", "[1]", R"({"service":"s"})", R"({"address":"10.0.0.1:1"})",
          R"({"service":"s","address":"nowhere"})", R"({"service":1,"address":"10.0.0.1:1"})"}) {
        BOOST_TEST(!Platform::readEndpoint("i-1", json), json);
    }
}

BOOST_AUTO_TEST_CASE(entryWithAMissingOrMistypedFieldIsAnError)
{
    const std::map<std::string, std::string> good{
        {"service", R"("s1")"},     {"address", R"("10.1.0.9:8080")"},
        {"zone", R"("gulberg")"},   {"version", R"("v1")"},
        {"slots", "128"},           {"state", R"("ready")"},
        {"warmup_left_ms", "12.5"}, {"seq", "4"},
        {"born", "1764719000123"}};
    const auto text = [](const std::map<std::string, std::string> &fields) {
        std::string json = "{";
        for (const auto &[name, value] : fields) {
            json += json.size() > 1 ? ",\"" : "\"";
            json += name;
            json += "\":";
            json += value;
        }
        json += "}";
        return json;
    };
    const auto read = Platform::readEndpoint("i-1", text(good));
    BOOST_REQUIRE(read);
    const Base::WallTime startedAt{std::chrono::milliseconds(1764719000123)};
    BOOST_TEST((read.value().endpoint.startedAt == startedAt));
    for (const auto &[name, value] : good) {
        auto without = good;
        without.erase(name);
        const bool isOptional = name == "born";
        BOOST_TEST(Platform::readEndpoint("i-1", text(without)).has_value() == isOptional, name);
        for (const char *other : {"null", "true", "[]", "{}", "-1", R"("?")"}) {
            // A negative remaining time and a name of any text are valid.
            const bool isGood = (name == "warmup_left_ms" && std::string_view(other) == "-1")
                || (std::string_view(other) == R"("?")"
                    && (name == "service" || name == "zone" || name == "version"));
            auto wrong = good;
            wrong[name] = other;
            BOOST_TEST(Platform::readEndpoint("i-1", text(wrong)).has_value() == isGood,
                       name + " = " + other);
        }
    }
    for (const char *start : {"1764719000123.5", "1764719000123.0", R"("1764719000123")"}) {
        auto wrong = good;
        wrong["born"] = start;
        BOOST_TEST(!Platform::readEndpoint("i-1", text(wrong)), start);
    }
    for (const char *state : {R"("starting")", R"("READY")", R"("")"}) {
        auto wrong = good;
        wrong["state"] = state;
        BOOST_TEST(!Platform::readEndpoint("i-1", text(wrong)), state);
    }
    BOOST_TEST(!Platform::readEndpoint("i-1", text(good) + "x"));
    BOOST_TEST(!Platform::readEndpoint("i-1", "\xff\xfe"));
}
