#pragma once

#include "auto/http/loopback.h"
#include "logging/logging.h"
#include "router/contractrules.h"
#include "router/routerprocess.h"
#include "schema/objectreader.h"
#include "standins/engine/engineapi.h"
#include "standins/engine/tokentext.h"
#include "standins/platform/platform.h"
#include "standins/service/serviceapi.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Lagoonbank::Test {

using Json = nlohmann::json;

/// Response to one call, as far as it has been received.
struct Answer
{
    Http::CallId id;
    bool hasEnded = false;
    Http::CallResult result;
    std::string body; ///< Body received so far.

    std::string header(std::string_view name) const
    {
        return std::string(result.headers.find(name).value_or(""));
    }
    std::string requestId() const { return header("x-request-id"); }
};
using AnswerPtr = std::shared_ptr<Answer>;

/// An answer as its caller interprets it.
struct ParsedAnswer
{
    /// "whole", an error kind, "cut" if the answer ended without either, or "unreadable".
    std::string kind;
    std::string ran; ///< Field "ran" of the error.
    std::string text; ///< Text of the model, even if incomplete.
    Json error;
};

inline void parseEvent(const std::string &data, ParsedAnswer &parsed)
{
    const Json event = Json::parse(data);
    if (event.contains("error"))
        parsed.error = event["error"];
    else if (event["choices"][0]["delta"].contains("content"))
        parsed.text += event["choices"][0]["delta"]["content"].get<std::string>();
}

/// Parses a streamed answer. It is whole only if it has `[DONE]` and its connection ended cleanly.
inline ParsedAnswer parseStream(const Answer &answer)
{
    ParsedAnswer parsed{.kind = "cut"};
    bool isDone = false;
    std::size_t start = 0;
    for (std::size_t end = 0; (end = answer.body.find("\n\n", start)) != std::string::npos;
         start = end + 2) {
        const std::string data = answer.body.substr(start + 6, end - start - 6);
        BOOST_TEST(!isDone);
        if (data == "[DONE]")
            isDone = true;
        else
            parseEvent(data, parsed);
    }
    if (isDone && answer.result.end == Http::CallEnd::Whole)
        parsed.kind = "whole";
    return parsed;
}

inline ParsedAnswer parseAnswer(const Answer &answer)
{
    ParsedAnswer parsed{.kind = "cut"};
    if (answer.header("content-type") == "text/event-stream") {
        parsed = parseStream(answer);
    } else if (answer.result.end == Http::CallEnd::Whole) {
        const Json body = Json::parse(answer.body, nullptr, false);
        parsed.kind = answer.result.status == 200 ? "whole" : "unreadable";
        if (body.is_object() && body.contains("error"))
            parsed.error = body["error"];
        if (body.is_object() && body.contains("choices"))
            parsed.text = body["choices"][0]["message"]["content"].get<std::string>();
    }
    if (parsed.error.is_object()) {
        BOOST_TEST(parsed.kind != "whole");
        parsed.kind = parsed.error["kind"].get<std::string>();
        parsed.ran = parsed.error["ran"].get<std::string>();
        BOOST_TEST(parsed.error["request_id"] == answer.requestId());
    }
    return parsed;
}

/// Complete text that an engine stand-in generates for the request.
inline std::string expectedText(const std::string &requestId, int tokens)
{
    const std::string hash = Standins::shortHash(Base::RequestId(requestId));
    std::string text;
    for (int i = 0; i < tokens; ++i)
        text += Standins::tokenText(hash, i);
    return text;
}

inline Http::Call makeCall(const std::string &method, const std::string &target,
                           const Http::Headers &headers = {}, const std::string &body = {})
{
    Http::Call call;
    call.method = method;
    call.target = target;
    call.headers = headers;
    call.body = body;
    return call;
}

/// A stand-in behind an HTTP server on a free port.
template<typename Api>
struct StandIn
{
    StandIn(Runtime::Loop &loop, std::string givenName, const typename Api::Options &options)
        : name(std::move(givenName))
        , api(options)
        , server({.loop = &loop, .address = {"127.0.0.1", 0}})
    {
        server.setHandler([this](const Http::Request &request, const auto &responder) {
            api.handle(request, responder);
        });
        BOOST_REQUIRE(server.listen());
    }
    std::string address() const { return Runtime::toString(server.address()); }

    std::string name;
    Api api;
    Http::Server server;
};
using Engine = StandIn<Standins::EngineApi>;
using Service = StandIn<Standins::ServiceApi>;
using LogPlatform = StandIn<Standins::Platform::Platform>;

/// A router on its own loop, so that a test can destroy it at any time as in a crash.
struct RouterUnit
{
    RouterUnit(const Runtime::Clock &clock, const Schema::RouterSettings &settings)
        : loop(Runtime::Loop::Options{.clock = &clock})
        , process(loop, settings)
    { }

    Runtime::Loop loop;
    Router::RouterProcess process;
};

struct FleetOptions
{
    int routers = 1;
    bool hasPlatform = false;
    std::string policy = "max_queue: 2, max_queue_wait_ms: 500";
    std::string whenLogIsOut = "refuse";
    Standins::EngineModel::Options engine;
    Schema::LimitSettings limits;
};

/// Stand-ins and routers on one thread, with a clock that advances only in runOnce().
struct Fleet
{
    static constexpr Base::Duration step = std::chrono::milliseconds(5);

    explicit Fleet(const FleetOptions &givenOptions = {})
        : options(givenOptions)
    {
        Logging::configure({.level = Logging::Level::Error});
        for (const char *name : {"engine-1", "engine-2"})
            engines.push_back(makeEngine(name));
        for (const char *name : {"booking-1", "booking-2"})
            services.push_back(std::make_unique<Service>(
                loop, name, Standins::ServiceApi::Options{.timers = &loop.timers(), .name = name}));
        if (options.hasPlatform)
            platform = std::make_unique<LogPlatform>(
                loop, "platform",
                Standins::Platform::Platform::Options{.timers = &loop.timers(),
                                                      .appendsPerSecond = 1000});
        for (int i = 0; i < options.routers; ++i)
            addRouter();
    }
    ~Fleet() { routers.clear(); }

    std::unique_ptr<Engine> makeEngine(const char *name)
    {
        Standins::EngineModel::Options model = options.engine;
        model.clock = &clock;
        return std::make_unique<Engine>(loop, name,
                                        Standins::EngineApi::Options{.timers = &loop.timers(),
                                                                     .name = name,
                                                                     .model = model,
                                                                     .orders = {.clock = &clock}});
    }
    std::string contract(const std::string &name, const std::string &limits) const
    {
        return "---\nkind: contract\nname: " + name + "\nkeys: [\"" + Router::keyHash(name + "-key")
            + "\"]\n" + limits + "\npriorities: {urgent: 1, normal: 5, low: 8}\n"
            + "models: [assistant]\nservices: [booking]\n"
              "non_idempotent: [{service: booking, path_prefix: /bookings}]\nwhen_log_is_out: "
            + options.whenLogIsOut + "\n";
    }
    std::string endpoint(const std::string &name, const std::string &type,
                         const std::string &address) const
    {
        const std::string fields = type == "engine" ? "model: assistant\ncapacity: 4096"
                                                    : "service: booking\ncapacity: 16";
        const std::string state = draining == name ? "draining" : "active";
        return "---\nkind: endpoint\nname: " + name + "\ntype: " + type + "\naddress: " + address
            + "\ndata_centre: dha\nregion: lahore\n" + fields + "\nstate: " + state + "\n";
    }
    std::string configuration() const
    {
        const std::string highLimits =
            "requests_per_second: 1000\nrequest_burst: 1000\ntokens_per_second:"
            " 10000000\ntoken_burst: 10000000\nconcurrency: ";
        std::string text = "kind: data_centre\nname: dha\nregion: lahore\n"
                           "---\nkind: model\nname: assistant\n---\nkind: model\nname: unused\n"
                           "---\nkind: service\nname: booking\n---\nkind: service\nname: ledger\n"
                           "---\n{kind: policy, name: default, first_byte_timeout_ms: 2000, "
                           "progress_timeout_ms: 1000, drain_timeout_ms: 30000, "
            + options.policy + "}\n";
        text += contract("front-desk", highLimits + "1000");
        text += contract("kiosk",
                         "requests_per_second: 1\nrequest_burst: 2\ntokens_per_second: 100000\n"
                         "token_burst: 100000\nconcurrency: 100");
        text += contract("meter",
                         "requests_per_second: 100\nrequest_burst: 100\ntokens_per_second: 10\n"
                         "token_burst: 100\nconcurrency: 100");
        text += contract("single", highLimits + "1");
        for (const auto &engine : engines)
            text += endpoint(engine->name, "engine", engine->address());
        for (const auto &service : services)
            text += endpoint(service->name, "service", service->address());
        return text;
    }
    void configure(RouterUnit &router) const
    {
        const auto documents = Schema::readObjects("fleet.yaml", configuration());
        BOOST_REQUIRE_MESSAGE(documents.has_value(),
                              (documents ? "" : Schema::toText(documents.error())));
        std::vector<Schema::ConfigurationObject> objects;
        for (const Schema::ObjectDocument &document : documents.value())
            objects.push_back(document.object);
        router.process.setFixedConfiguration(std::move(objects));
    }
    /// Address that is unique to the test process, since a peer uses the same port for UDP and TCP.
    static std::string peerAddress(std::uint32_t number)
    {
        const std::uint32_t host = 256 + (static_cast<std::uint32_t>(getpid()) & 0x3fffffU) * 3;
        return "127." + std::to_string(host >> 16U) + '.' + std::to_string((host >> 8U) & 255U)
            + '.' + std::to_string(host & 255U) + ':' + std::to_string(20000 + number);
    }
    RouterUnit &addRouter()
    {
        static std::uint32_t started = 0;
        ++started;
        clock.advance(step); // So that no two routers have the same incarnation.
        Schema::RouterSettings settings{.vm = Base::VmId("dha-vm-" + std::to_string(started)),
                                        .dataCentre = Base::DataCentreId("dha"),
                                        .region = Base::RegionId("lahore"),
                                        .listenAddress = "127.0.0.1:0",
                                        .adminAddress = "127.0.0.1:0",
                                        .peerAddress = peerAddress(started),
                                        .peerKeys = {"peer key of the tests, not a secret"},
                                        .placementKey = "placement key of the tests",
                                        .limits = options.limits};
        if (platform)
            settings.platformAddress = platform->address();
        routers.push_back(std::make_unique<RouterUnit>(clock, settings));
        RouterUnit &router = *routers.back();
        BOOST_REQUIRE(router.process.start());
        configure(router);
        BOOST_REQUIRE(runUntil([&] { return router.process.callerApi().isReady(); }));
        if (platform)
            runFor(std::chrono::milliseconds(200)); // Time to read the streams of the log.
        return router;
    }

    /// Advances the clock and runs one iteration of each loop.
    void runOnce(Base::Duration duration = step)
    {
        clock.advance(duration);
        for (const auto &router : routers)
            router->loop.runOnce({});
        // Wait briefly every fourth time for data that the kernel has not delivered yet.
        loop.runOnce(std::chrono::milliseconds(++iterations % 4 == 0 ? 1 : 0));
    }
    bool runUntil(const std::function<bool()> &condition,
                  Base::Duration limit = std::chrono::seconds(60))
    {
        for (auto remaining = limit; remaining > remaining.zero() && !condition();
             remaining -= step)
            runOnce();
        return condition();
    }
    void runFor(Base::Duration duration)
    {
        runUntil([] { return false; }, duration);
    }
    /// Like runFor(), but in larger steps; for use while no request is in flight.
    void runIdle(Base::Duration duration)
    {
        constexpr Base::Duration largeStep = std::chrono::milliseconds(100);
        for (auto remaining = duration; remaining > remaining.zero(); remaining -= largeStep)
            runOnce(largeStep);
    }

    AnswerPtr start(const Runtime::SocketAddress &server, Http::Call call)
    {
        auto answer = std::make_shared<Answer>();
        call.server = server;
        call.freshConnection = true;
        call.headTimeout = call.progressTimeout = std::chrono::minutes(5);
        answer->id = client.start(
            std::move(call),
            {.headReceived =
                 [answer](int status, const Http::Headers &headers) {
                     answer->result.status = status;
                     answer->result.headers = headers;
                 },
             .bodyReceived = [answer](std::string_view piece) { answer->body += piece; },
             .finished =
                 [answer](Http::CallResult result) {
                     answer->result = std::move(result);
                     answer->hasEnded = true;
                 }});
        return answer;
    }
    AnswerPtr start(Http::Call call, std::size_t router = 0)
    {
        return start(routers.at(router)->process.callerAddress(), std::move(call));
    }
    const Answer &finish(const AnswerPtr &answer)
    {
        BOOST_REQUIRE(runUntil([&] { return answer->hasEnded; }));
        return *answer;
    }
    Json requestJson(const Runtime::SocketAddress &server, const std::string &target,
                     const std::string &body = {})
    {
        const char *method = body.empty() ? "GET" : "POST";
        const AnswerPtr started = start(server, makeCall(method, target, {}, body));
        const Answer &answer = finish(started);
        BOOST_REQUIRE_MESSAGE(answer.result.status == 200, target + ": " + answer.body);
        return Json::parse(answer.body);
    }

    template<typename Api>
    void injectFault(const StandIn<Api> &standIn, const std::string &fault)
    {
        requestJson(standIn.server.address(), "/faults", fault);
    }
    template<typename Api>
    Json ledgerEntries(const StandIn<Api> &standIn)
    {
        return requestJson(standIn.server.address(), "/ledger")["entries"];
    }
    /// States of all runs whose ledger entry has \a value in the field \a field.
    std::vector<std::string> runStates(const std::string &field, const std::string &value)
    {
        std::vector<std::string> states;
        const auto add = [&](const Json &entries) {
            for (const Json &entry : entries) {
                if (entry.value(field, "") == value)
                    states.push_back(entry["state"].get<std::string>());
            }
        };
        for (const auto &engine : engines)
            add(ledgerEntries(*engine));
        for (const auto &service : services)
            add(ledgerEntries(*service));
        return states;
    }
    Engine &engine(const std::string &name)
    {
        return *engines.at(name == engines.front()->name ? 0 : 1);
    }
    Json outcome(const std::string &requestId, std::size_t router = 0)
    {
        return requestJson(routers.at(router)->process.adminAddress(),
                           "/admin/outcome?id=" + requestId);
    }

    /// Checks that the outcome recorded by the router matches the answer that the caller received.
    void checkOutcome(const Answer &answer, std::size_t router = 0)
    {
        const ParsedAnswer parsed = parseAnswer(answer);
        const Json recorded = outcome(answer.requestId(), router);
        if (parsed.kind == "whole") {
            BOOST_TEST(recorded["outcome"] == "whole");
            BOOST_TEST(recorded["ran"] == "yes");
        } else {
            BOOST_TEST(recorded["cause"] == parsed.kind);
            BOOST_TEST(recorded["ran"] == parsed.ran);
            const bool didNotRun = parsed.ran == "no";
            BOOST_TEST((recorded["outcome"] == "refused") == didNotRun);
        }
        BOOST_TEST(recorded["status"] == answer.result.status);
    }
    /// Checks that requests that have ended leave no state in any router.
    void checkNoStateLeft()
    {
        for (const auto &router : routers) {
            const Router::RouterProcess &process = router->process;
            BOOST_TEST(process.callerApi().inFlight() == 0U);
            BOOST_TEST(process.placer().waiting() == 0U);
            const Routing::Router &routing = process.placer().routing();
            for (Routing::EndpointIndex i = 0; i < routing.endpoints().size(); ++i)
                BOOST_TEST(routing.loads().ownInFlight(i).value() == 0);
            if (!platform)
                BOOST_TEST(process.activeCalls() == 0U);
        }
    }

    FleetOptions options;
    Runtime::ManualClock clock;
    Runtime::Loop loop{Runtime::Loop::Options{.clock = &clock}};
    std::uint64_t iterations = 0;
    std::string draining; ///< Name of the endpoint that the next configuration drains.
    std::unique_ptr<LogPlatform> platform;
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Service>> services;
    Http::Client client{{.loop = &loop}};
    std::vector<std::unique_ptr<RouterUnit>> routers;
};

inline Http::Headers headersOf(const std::string &key, const Http::Headers &additional = {})
{
    Http::Headers headers{{"content-type", "application/json"}};
    if (!key.empty())
        headers.add("authorization", "Bearer " + key);
    for (const Http::Header &header : additional.fields())
        headers.add(header.name, header.value);
    return headers;
}

struct Chat
{
    std::string chat = "chat-1";
    std::string prompt = "good morning";
    int tokens = 8;
    bool stream = true;
    std::string key = "front-desk-key";
};

inline Http::Call chatCall(const Chat &chat = {})
{
    const Json body{{"model", "assistant"},
                    {"messages", Json::array({{{"role", "user"}, {"content", chat.prompt}}})},
                    {"max_tokens", chat.tokens},
                    {"prompt_cache_key", chat.chat},
                    {"stream", chat.stream}};
    return makeCall("POST", "/v1/chat/completions", headersOf(chat.key), body.dump());
}

inline Http::Call bookingCall(const std::string &idempotencyKey = {},
                              const std::string &body = R"({"seat": 7})")
{
    Http::Headers headers = headersOf("front-desk-key");
    if (!idempotencyKey.empty())
        headers.add("idempotency-key", idempotencyKey);
    return makeCall("POST", "/services/booking/bookings", headers, body);
}

} // namespace Lagoonbank::Test
