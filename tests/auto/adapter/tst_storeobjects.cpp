#define BOOST_TEST_MODULE tst_storeobjects
#include <boost/test/unit_test.hpp>

#include "auto/adapter/jsonobject.h"
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
    const auto read = Platform::readEndpoint("i-1", jsonObject(good));
    BOOST_REQUIRE(read);
    const Base::WallTime startedAt{std::chrono::milliseconds(1764719000123)};
    BOOST_TEST((read.value().endpoint.startedAt == startedAt));
    for (const auto &[name, value] : good) {
        auto without = good;
        without.erase(name);
        const bool isOptional = name == "born";
        BOOST_TEST(Platform::readEndpoint("i-1", jsonObject(without)).has_value() == isOptional,
                   name);
        for (const char *other : {"null", "true", "[]", "{}", "-1", R"("?")"}) {
            // A negative remaining time and a name of any text are valid.
            const bool isGood = (name == "warmup_left_ms" && std::string_view(other) == "-1")
                || (std::string_view(other) == R"("?")"
                    && (name == "service" || name == "zone" || name == "version"));
            auto wrong = good;
            wrong[name] = other;
            BOOST_TEST(Platform::readEndpoint("i-1", jsonObject(wrong)).has_value() == isGood,
                       name + " = " + other);
        }
    }
    for (const char *start : {"1764719000123.5", "1764719000123.0", R"("1764719000123")"}) {
        auto wrong = good;
        wrong["born"] = start;
        BOOST_TEST(!Platform::readEndpoint("i-1", jsonObject(wrong)), start);
    }
    for (const char *state : {R"("starting")", R"("READY")", R"("")"}) {
        auto wrong = good;
        wrong["state"] = state;
        BOOST_TEST(!Platform::readEndpoint("i-1", jsonObject(wrong)), state);
    }
    BOOST_TEST(!Platform::readEndpoint("i-1", jsonObject(good) + "x"));
    BOOST_TEST(!Platform::readEndpoint("i-1", "\xff\xfe"));
}

namespace {

std::string endpointEntry(const std::string &field, const std::string &value)
{
    std::map<std::string, std::string> fields{
        {"service", R"("s1")"},   {"address", R"("10.1.0.9:8080")"},
        {"zone", R"("gulberg")"}, {"version", R"("v1")"},
        {"slots", "128"},         {"state", R"("ready")"},
        {"warmup_left_ms", "0"},  {"seq", "4"},
        {"born", "1764719000123"}};
    fields[field] = value;
    return jsonObject(fields);
}

} // namespace

/// Each of these entries was taken for one of an engine. Some could not be passed to other routers:
/// all messages with them failed, so that routers which do not read the store stopped following it.
/// The others are no engine that can be called, or overflow when they are converted.
BOOST_AUTO_TEST_CASE(oddEntryIsAnError)
{
    struct Row
    {
        std::string_view name;
        std::string field;
        std::string value;
    };
    const Row rows[]{
        {"empty service", "service", R"("")"},
        {"service longer than routers share", "service", jsonString(97)},
        {"service of a megabyte", "service", jsonString(1 << 20)},
        {"zone longer than routers share", "zone", jsonString(65)},
        {"version longer than routers share", "version", jsonString(65)},
        {"port 0", "address", R"("10.1.0.9:0")"},
        {"address of any host", "address", R"("0.0.0.0:80")"},
        {"null character in the address", "address", R"("10.1.0.9\u0000xxxxxxxxxxxxxxxx:80")"},
        {"start beyond nanoseconds", "born", "9223372036855"},
        {"start near 2^63", "born", "9223372036854775807"},
        {"slots beyond int", "slots", "2147483648"},
        {"sequence near 2^64", "seq", "18446744073709551615"},
        {"remaining time beyond double", "warmup_left_ms", "1e999"},
        {"deep nesting", "models", std::string(100000, '[')},
        {"entry of a megabyte", "models", jsonString(1 << 20)}};
    for (const Row &row : rows)
        BOOST_TEST(!Platform::readEndpoint("i-1", endpointEntry(row.field, row.value)), row.name);
    const std::string good = endpointEntry("slots", "4");
    BOOST_TEST(Platform::readEndpoint(std::string(96, 'i'), good).has_value());
    for (const std::string &id : {std::string(), std::string(97, 'i'), std::string("a\r\nb"),
                                  std::string("a b"), std::string("\xff")})
        BOOST_TEST(!Platform::readEndpoint(id, good), id);
}

/// Values at the bounds stay valid.
BOOST_AUTO_TEST_CASE(extremeEntryOfAnEndpointIsRead)
{
    for (const auto &[field, value] : std::multimap<std::string, std::string>{
             {"service", jsonString(96)},
             {"zone", jsonString(64)},
             {"version", jsonString(64)},
             {"zone", R"("")"},
             {"version", R"("")"},
             {"address", R"("10.1.0.9:65535")"},
             {"born", "9223372036854"},
             {"born", "0"},
             {"slots", "2147483647"},
             {"warmup_left_ms", "1e300"},
             {"models", std::string(1000, '[') + std::string(1000, ']')}})
        BOOST_TEST(Platform::readEndpoint("i-1", endpointEntry(field, value)).has_value(), field);
}

/// The error is logged, and used to contain up to the whole value.
BOOST_AUTO_TEST_CASE(errorOfAnOddEntryIsShort)
{
    constexpr std::size_t maxDetail = 300;
    for (const std::string &entry :
         {endpointEntry("state", jsonString(100000)), endpointEntry("address", jsonString(100000)),
          "{\"" + std::string(100000, 'x')}) {
        const auto read = Platform::readEndpoint("i-1", entry);
        BOOST_REQUIRE(!read);
        BOOST_TEST(read.error().detail.size() <= maxDetail);
    }
    const auto read = Platform::readConfiguration(R"({"version":1,"routes":[{"kind":)"
                                                  + jsonString(100000) + "}]}");
    BOOST_REQUIRE(!read);
    BOOST_TEST(read.error().detail.size() <= maxDetail);
}

/// Numbers out of range became undefined durations or counts. The configuration is then an error as
/// a whole, so that the previous one stays in force.
BOOST_AUTO_TEST_CASE(configurationWithNumbersOutOfRangeIsAnError)
{
    const auto route = [](const std::string &fields) {
        return R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","kind":"idempotent",)"
               R"("service":"s")"
            + fields + "}]}";
    };
    const auto service = [](const std::string &fields) {
        return R"({"version":7,"routes":[],"services":[{"name":"s")" + fields + "}]}";
    };
    const auto limits = [](const std::string &fields) {
        return R"({"version":7,"routes":[],"limits":{)" + fields + "}}";
    };
    BOOST_TEST(Platform::readConfiguration(route("")).has_value());
    BOOST_TEST(Platform::readConfiguration(route(R"(,"timeout_ms":0.5)")).has_value());
    BOOST_TEST(Platform::readConfiguration(service("")).has_value());
    BOOST_TEST(Platform::readConfiguration(limits("")).has_value());
    for (const char *value : {"1e300", "-1", "-1e300", "1e17", "true", "\"NaN\"", "1e999"}) {
        const std::string number = std::string(":") + value;
        for (const char *name :
             {"timeout_ms", "target_latency_ms", "max_gap_ms", "max_attempts", "priority"}) {
            const std::string json = route(",\"" + std::string(name) + "\"" + number);
            BOOST_TEST(!Platform::readConfiguration(json), json);
        }
        for (const char *name : {"max_conns", "warmup_s", "warmup_per_s"}) {
            const std::string json = service(",\"" + std::string(name) + "\"" + number);
            BOOST_TEST(!Platform::readConfiguration(json), json);
        }
        for (const char *name : {"slots", "kv_tokens", "stride"}) {
            const std::string json =
                service(R"(,"engine":{")" + std::string(name) + "\"" + number + "}");
            BOOST_TEST(!Platform::readConfiguration(json), json);
        }
        for (const char *name : {"header_bytes", "body_bytes", "header_ms", "idle_ms"}) {
            const std::string json = limits("\"" + std::string(name) + "\"" + number);
            BOOST_TEST(!Platform::readConfiguration(json), json);
        }
        const std::string split =
            route(R"(,"traffic_split":[{"service":"s","weight")" + number + "}]");
        BOOST_TEST(!Platform::readConfiguration(split), split);
    }
    for (const char *version : {"-1", "1.5", "true", "1e300"}) {
        const std::string json = R"({"version":)" + std::string(version) + R"(,"routes":[]})";
        BOOST_TEST(!Platform::readConfiguration(json), json);
    }
}

/// A list was copied recursively, which overflowed the stack and ended the router.
BOOST_AUTO_TEST_CASE(deeplyNestedConfigurationIsAnError)
{
    constexpr std::size_t depth = 1000000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    for (const char *name : {"services", "tenants", "limits", "routes"}) {
        std::string json = R"({"version":7,)";
        json += std::string_view(name) == "routes" ? "" : R"("routes":[],)";
        json += "\"" + std::string(name) + "\":" + nested + "}";
        BOOST_TEST(!Platform::readConfiguration(json), name);
    }
}
