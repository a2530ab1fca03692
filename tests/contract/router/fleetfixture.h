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

/// What a caller got for one call, while it runs and afterwards.
struct Answer
{
    Http::CallId id;
    bool hasEnded = false;
    Http::CallResult result;
    std::string body; ///< All that has come so far.

    std::string header(std::string_view name) const
    {
        return std::string(result.headers.find(name).value_or(""));
    }
    std::string requestId() const { return header("x-request-id"); }
};
using AnswerPtr = std::shared_ptr<Answer>;

/// An answer as its caller understands it.
struct Seen
{
    std::string kind; ///< "whole", the name of an error kind, or "cut" without any explanation.
    std::string ran; ///< Of an error.
    std::string text; ///< Of a model's answer, also of a part.
    Json error;
};

inline void readEvent(const std::string &data, Seen &seen)
{
    const Json event = Json::parse(data);
    if (event.contains("error"))
        seen.error = event["error"];
    else if (event["choices"][0]["delta"].contains("content"))
        seen.text += event["choices"][0]["delta"]["content"].get<std::string>();
}

/// Reads a streamed answer; only the closing mark in a connection that ended in order is whole.
inline Seen readStream(const Answer &answer)
{
    Seen seen{.kind = "cut"};
    bool isDone = false;
    std::size_t start = 0;
    for (std::size_t end = 0; (end = answer.body.find("\n\n", start)) != std::string::npos;
         start = end + 2) {
        const std::string data = answer.body.substr(start + 6, end - start - 6);
        BOOST_TEST(!isDone);
        if (data == "[DONE]")
            isDone = true;
        else
            readEvent(data, seen);
    }
    if (isDone && answer.result.end == Http::CallEnd::Whole)
        seen.kind = "whole";
    return seen;
}

inline Seen read(const Answer &answer)
{
    Seen seen{.kind = "cut"};
    if (answer.header("content-type") == "text/event-stream") {
        seen = readStream(answer);
    } else if (answer.result.end == Http::CallEnd::Whole) {
        const Json body = Json::parse(answer.body, nullptr, false);
        seen.kind = answer.result.status == 200 ? "whole" : "unreadable";
        if (body.is_object() && body.contains("error"))
            seen.error = body["error"];
        if (body.is_object() && body.contains("choices"))
            seen.text = body["choices"][0]["message"]["content"].get<std::string>();
    }
    if (seen.error.is_object()) {
        BOOST_TEST(seen.kind != "whole");
        seen.kind = seen.error["kind"].get<std::string>();
        seen.ran = seen.error["ran"].get<std::string>();
        BOOST_TEST(seen.error["request_id"] == answer.requestId());
    }
    return seen;
}

/// What the engine has to answer to that request, by the rule of the stand-ins.
inline std::string wholeText(const std::string &requestId, int tokens)
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

/// One stand-in behind a server on a free port.
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

/// A router on a loop of its own, so that it can go at any moment as in a crash.
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

/// Stand-ins and routers as a fleet on one thread; time passes only in turns.
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
        const std::string what = type == "engine" ? "model: assistant\ncapacity: 4096"
                                                  : "service: booking\ncapacity: 16";
        const std::string state = draining == name ? "draining" : "active";
        return "---\nkind: endpoint\nname: " + name + "\ntype: " + type + "\naddress: " + address
            + "\ndata_centre: dha\nregion: lahore\n" + what + "\nstate: " + state + "\n";
    }
    std::string configuration() const
    {
        const std::string wide =
            "requests_per_second: 1000\nrequest_burst: 1000\ntokens_per_second:"
            " 10000000\ntoken_burst: 10000000\nconcurrency: ";
        std::string text = "kind: data_centre\nname: dha\nregion: lahore\n"
                           "---\nkind: model\nname: assistant\n---\nkind: model\nname: unused\n"
                           "---\nkind: service\nname: booking\n---\nkind: service\nname: ledger\n"
                           "---\n{kind: policy, name: default, first_byte_timeout_ms: 2000, "
                           "progress_timeout_ms: 1000, drain_timeout_ms: 30000, "
            + options.policy + "}\n";
        text += contract("front-desk", wide + "1000");
        text += contract("kiosk",
                         "requests_per_second: 1\nrequest_burst: 2\ntokens_per_second: 100000\n"
                         "token_burst: 100000\nconcurrency: 100");
        text += contract("meter",
                         "requests_per_second: 100\nrequest_burst: 100\ntokens_per_second: 10\n"
                         "token_burst: 100\nconcurrency: 100");
        text += contract("single", wide + "1");
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
    /// An own address for each test program, since peers need one number for UDP and TCP.
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
        clock.advance(step); // No two incarnations are the same.
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
        BOOST_REQUIRE(runOnUntil([&] { return router.process.callerApi().isReady(); }));
        if (platform)
            runOn(std::chrono::milliseconds(200)); // Until the log's streams are read.
        return router;
    }

    void turn(Base::Duration passing = step)
    {
        clock.advance(passing);
        for (const auto &router : routers)
            router->loop.runOnce({});
        // A short wait now and then, for what the kernel has not handed over yet.
        loop.runOnce(std::chrono::milliseconds(++turns % 4 == 0 ? 1 : 0));
    }
    bool runOnUntil(const std::function<bool()> &condition,
                    Base::Duration limit = std::chrono::seconds(60))
    {
        for (auto left = limit; left > left.zero() && !condition(); left -= step)
            turn();
        return condition();
    }
    void runOn(Base::Duration duration)
    {
        runOnUntil([] { return false; }, duration);
    }
    /// Like runOn() in larger steps, while nothing is under way.
    void passTime(Base::Duration duration)
    {
        constexpr Base::Duration largeStep = std::chrono::milliseconds(100);
        for (auto left = duration; left > left.zero(); left -= largeStep)
            turn(largeStep);
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
        BOOST_REQUIRE(runOnUntil([&] { return answer->hasEnded; }));
        return *answer;
    }
    Json ask(const Runtime::SocketAddress &server, const std::string &target,
             const std::string &body = {})
    {
        const char *method = body.empty() ? "GET" : "POST";
        const AnswerPtr asked = start(server, makeCall(method, target, {}, body));
        const Answer &answer = finish(asked);
        BOOST_REQUIRE_MESSAGE(answer.result.status == 200, target + ": " + answer.body);
        return Json::parse(answer.body);
    }

    template<typename Api>
    void order(const StandIn<Api> &standIn, const std::string &fault)
    {
        ask(standIn.server.address(), "/faults", fault);
    }
    template<typename Api>
    Json ledger(const StandIn<Api> &standIn)
    {
        return ask(standIn.server.address(), "/ledger")["entries"];
    }
    /// States of the runs of a request, or of a key, in all ledgers.
    std::vector<std::string> runs(const std::string &member, const std::string &value)
    {
        std::vector<std::string> states;
        const auto add = [&](const Json &entries) {
            for (const Json &entry : entries) {
                if (entry.value(member, "") == value)
                    states.push_back(entry["state"].get<std::string>());
            }
        };
        for (const auto &engine : engines)
            add(ledger(*engine));
        for (const auto &service : services)
            add(ledger(*service));
        return states;
    }
    Engine &engine(const std::string &name)
    {
        return *engines.at(name == engines.front()->name ? 0 : 1);
    }
    Json outcome(const std::string &requestId, std::size_t router = 0)
    {
        return ask(routers.at(router)->process.adminAddress(), "/admin/outcome?id=" + requestId);
    }

    /// What the router says became of the request has to be what its caller saw.
    void checkOutcome(const Answer &answer, std::size_t router = 0)
    {
        const Seen seen = read(answer);
        const Json told = outcome(answer.requestId(), router);
        if (seen.kind == "whole") {
            BOOST_TEST(told["outcome"] == "whole");
            BOOST_TEST(told["ran"] == "yes");
        } else {
            BOOST_TEST(told["cause"] == seen.kind);
            BOOST_TEST(told["ran"] == seen.ran);
            const bool didNotRun = seen.ran == "no";
            BOOST_TEST((told["outcome"] == "refused") == didNotRun);
        }
        BOOST_TEST(told["status"] == answer.result.status);
    }
    /// Nothing of what has ended may be left in a router.
    void checkNothingLeft()
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
    std::uint64_t turns = 0;
    std::string draining; ///< Name of the endpoint that the next configuration drains.
    std::unique_ptr<LogPlatform> platform;
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Service>> services;
    Http::Client client{{.loop = &loop}};
    std::vector<std::unique_ptr<RouterUnit>> routers;
};

inline Http::Headers headersOf(const std::string &key, const Http::Headers &further = {})
{
    Http::Headers headers{{"content-type", "application/json"}};
    if (!key.empty())
        headers.add("authorization", "Bearer " + key);
    for (const Http::Header &header : further.fields())
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
