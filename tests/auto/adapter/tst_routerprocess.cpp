#define BOOST_TEST_MODULE tst_routerprocess
#include "auto/http/loopback.h"
#include "platform/routerprocess.h"

#include <absl/strings/escaping.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Lagoonbank;
using Lagoonbank::Test::PausedLoop;
using Lagoonbank::Test::RawSocket;

namespace {

/// A fake store with one configuration and one endpoint. The test sets the status of its answers.
class FakeStore
{
public:
    explicit FakeStore(Runtime::Loop &loop)
        : server({.loop = &loop, .address = {"127.0.0.1", 0}})
    {
        server.setHandler([this](const Http::Request &request, const auto &responder) {
            ++calls;
            if (status != 200)
                responder->send(status, {}, {});
            else if (request.path == "/v1/log-newest")
                responder->send(200, {}, newest(request.query));
            else if (request.path == "/v1/log-append")
                responder->send(200, {}, R"({"offset":0,"end":1})");
            else if (request.query.find("keyed.servers") != std::string::npos)
                waiting[true] = responder;
            else if (request.query.find("keyed.op") != std::string::npos)
                waiting[false] = responder;
            else
                otherReads.push_back(responder);
        });
        BOOST_REQUIRE(server.listen());
    }

    int status = 200;
    int calls = 0;
    std::string configuration;
    std::string endpoint;
    std::uint64_t end = 2; ///< Offset after the last record.
    std::vector<std::string> drained; ///< Data centres that the operators have drained.
    Http::Server server;
    /// Waiting reads of the tail: of the endpoints (true) and of the operators' records (false).
    std::map<bool, std::shared_ptr<Http::Responder>> waiting;
    std::vector<std::shared_ptr<Http::Responder>> otherReads; ///< Of other topics; not answered.

    /// Answers the waiting read of the endpoints with a new entry of the only endpoint.
    void writeEndpoint(const std::string &value) { writeRecord(true, "i-1", value); }
    /// Answers the waiting read of the operators' records so that the router lists them again.
    void loseHistory()
    {
        waiting.at(false)->send(410, {}, R"({"first":2})");
        waiting.erase(false);
    }
    /// Answers the waiting read of the operators' records with one that drops this key.
    void dropOperatorRecord(const std::string &key) { writeRecord(false, key, {}); }

private:
    static std::string number(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text += static_cast<char>(value >> (8U * static_cast<unsigned>(i)) & 0xffU);
        return text;
    }
    /// An empty value drops the key.
    void writeRecord(bool isEndpoint, const std::string &key, const std::string &value)
    {
        const std::string record = number(key.size(), 1) + key + value;
        waiting.at(isEndpoint)
            ->send(200, {}, number(3, 8) + number(0, 8) + number(record.size(), 4) + record);
        waiting.erase(isEndpoint);
    }
    static std::string item(const std::string &key, const std::string &value)
    {
        return R"({"key":")" + key + R"(","value":")" + std::string(absl::Base64Escape(value))
            + R"(","offset":1})";
    }
    std::string newest(const std::string &query) const
    {
        const bool isOperator = query.find("keyed.op") != std::string::npos;
        const bool isEndpoint = query.find("keyed.servers") != std::string::npos;
        const std::string &value = isOperator ? configuration : endpoint;
        std::string items;
        if ((isOperator || isEndpoint) && !value.empty())
            items = item(isOperator ? "config" : "i-1", value);
        for (const std::string &dataCentre : drained)
            items += isOperator ? "," + item("evacuate/" + dataCentre, "{}") : std::string();
        return R"({"items":[)" + items + R"(],"has_more":false,"end":)" + std::to_string(end) + "}";
    }
};

struct Fixture : PausedLoop
{
    Fixture()
    {
        settings.vm = Base::VmId("edge-1");
        settings.dataCentre = Base::DataCentreId("dc0");
        settings.listenAddress = Test::freeAddress();
        settings.readyAddress = Test::freeAddress();
        settings.metricsAddress = Test::freeAddress();
        settings.peerAddress = Test::freeAddress();
        settings.storeAddress = Runtime::toString(store.server.address());
        store.configuration = R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/",
            "kind":"idempotent","service":"s","max_attempts":2,"timeout_ms":800}]})";
        store.endpoint = R"({"service":"s","address":")" + Runtime::toString(engine.address)
            + R"(","zone":"dc0","version":"v1","slots":4,"state":"ready","seq":1,
                 "warmup_left_ms":0})";
    }
    void start()
    {
        router = std::make_unique<Platform::RouterProcess>(loop, settings);
        BOOST_REQUIRE(router->start());
    }
    RawSocket connect(const std::string &address)
    {
        return RawSocket(Runtime::parseSocketAddress(address).value());
    }
    /// Queries readiness, as the load balancer does, until the answer has this status.
    bool isReadyWith(const std::string &status)
    {
        for (int i = 0; i < 50; ++i) {
            RawSocket balancer = connect(settings.readyAddress);
            balancer.send("GET /v1/readiness HTTP/1.1\r\nhost: a\r\n\r\n");
            runUntil([&] { return balancer.has("\r\n\r\n"); });
            if (balancer.has("HTTP/1.1 " + status))
                return true;
            advance(std::chrono::milliseconds(100));
        }
        return false;
    }
    /// Like runUntil(), but advances the clock, as the router waits for 2 ms before it uses a new
    /// connection to an endpoint.
    bool passUntil(const std::function<bool()> &condition)
    {
        return runUntil([&] {
            clock.advance(std::chrono::milliseconds(1));
            return condition();
        });
    }
    /// Value of the metric with this name and these labels, as the metrics page gives it; -1 if it
    /// is not there.
    double metric(const std::string &name)
    {
        RawSocket reader = connect(*settings.metricsAddress);
        reader.send("GET /metrics HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        BOOST_REQUIRE(runUntil([&] { return reader.isEnded(); }));
        const std::string &text = reader.receive();
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
    }
    RawSocket call(const std::string &path = "/p/1")
    {
        RawSocket caller = connect(settings.listenAddress);
        caller.send("GET " + path + " HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: 9c\r\n\r\n");
        return caller;
    }

    FakeStore store{loop};
    Test::RawListener engine;
    Schema::GatewaySettings settings;
    std::unique_ptr<Platform::RouterProcess> router;
};

} // namespace

BOOST_AUTO_TEST_CASE(isReadyWithConfigurationAndEndpoints)
{
    Fixture f;
    f.store.status = 503;
    f.start();
    RawSocket early = f.call();
    BOOST_TEST(f.runUntil([&] { return early.has("not_ready"); }));
    BOOST_TEST(early.has("HTTP/1.1 503"));
    BOOST_TEST(early.has("retry-after: "));
    f.store.status = 200;
    BOOST_TEST(f.isReadyWith("200"));
}

BOOST_AUTO_TEST_CASE(unreadableEntryRemovesItsEndpoint)
{
    Fixture f;
    f.start();
    BOOST_REQUIRE(f.isReadyWith("200"));
    const auto isWaiting = [&] {
        f.clock.advance(std::chrono::milliseconds(10));
        return f.store.waiting.contains(true);
    };
    BOOST_REQUIRE(f.runUntil(isWaiting));
    f.store.writeEndpoint("\x01\x02");
    BOOST_REQUIRE(f.runUntil(isWaiting));
    RawSocket caller = f.call();
    BOOST_TEST(f.runUntil([&] { return caller.has("no_endpoint"); }));
    BOOST_TEST(caller.has("HTTP/1.1 503"));
}

/// Guards against entries that are dropped silently, or counted only once.
BOOST_AUTO_TEST_CASE(unreadableEntriesAreCounted)
{
    const std::string name = R"(lagoonbank_gateway_undecodable_total{name="keyed.servers"})";
    Fixture f;
    f.start();
    BOOST_REQUIRE(f.isReadyWith("200"));
    BOOST_TEST(f.metric(name) == -1);
    const auto isWaiting = [&] {
        f.clock.advance(std::chrono::milliseconds(10));
        return f.store.waiting.contains(true);
    };
    BOOST_REQUIRE(f.runUntil(isWaiting));
    f.store.writeEndpoint("\x01\x02");
    BOOST_REQUIRE(f.runUntil(isWaiting));
    BOOST_TEST(f.metric(name) == 1);
}

/// Guards against a load report that the endpoints of a fleet send in vain, without a trace.
BOOST_AUTO_TEST_CASE(undecodableHeadersAreCounted)
{
    const std::string name =
        R"(lagoonbank_gateway_undecodable_total{name="lagoonbank-engine-load"})";
    Fixture f;
    f.start();
    BOOST_REQUIRE(f.isReadyWith("200"));
    RawSocket caller = f.call();
    int accepted = -1;
    BOOST_REQUIRE(f.runUntil([&] { return (accepted = f.engine.accept()) >= 0; }));
    RawSocket engine(accepted);
    BOOST_REQUIRE(f.passUntil([&] { return engine.has("\r\n\r\n"); }));
    engine.send("HTTP/1.1 200 OK\r\nLagoonbank-Attempt-Id: 9c\r\nLagoonbank-Server-Seal: 3e\r\n"
                "Lagoonbank-Engine-Load: 1,0,4,100,7\r\nContent-Length: 2\r\n\r\nok");
    BOOST_REQUIRE(f.runUntil([&] { return caller.has("\r\n\r\nok"); }));
    BOOST_TEST(f.metric(name) == 1);
}

BOOST_AUTO_TEST_CASE(forwardsACallAndItsAnswer)
{
    Fixture f;
    f.start();
    BOOST_REQUIRE(f.isReadyWith("200"));
    RawSocket caller = f.call();
    int accepted = -1;
    BOOST_REQUIRE(f.runUntil([&] { return (accepted = f.engine.accept()) >= 0; }));
    RawSocket engine(accepted);
    BOOST_TEST(f.passUntil([&] { return engine.has("\r\n\r\n"); }));
    BOOST_TEST(engine.has("GET /p/1 HTTP/1.1\r\n"));
    BOOST_TEST(engine.has("host: h\r\n"));
    BOOST_TEST(engine.has("lagoonbank-attempt-id: 9c\r\n"));
    BOOST_TEST(engine.has("lagoonbank-expect-instance: i-1\r\n"));
    BOOST_TEST(engine.has("lagoonbank-deadline-remaining: 800\r\n"));
    engine.send("HTTP/1.1 200 OK\r\nLagoonbank-Attempt-Id: 9c\r\nLagoonbank-Server-Seal: 3e\r\n"
                "Content-Length: 2\r\n\r\nok");
    BOOST_TEST(f.runUntil([&] { return caller.has("\r\n\r\nok"); }));
    BOOST_TEST(caller.has("lagoonbank-server-seal: 3e\r\n"));
    RawSocket unknown = f.call("/q/1");
    BOOST_TEST(f.runUntil([&] { return unknown.has("HTTP/1.1 404"); }));
}

BOOST_AUTO_TEST_CASE(exportsLoopLagMetrics)
{
    Fixture f;
    f.start();
    BOOST_REQUIRE(f.isReadyWith("200"));
    const auto metric = [&](const std::string &name) {
        const double value = f.metric(name);
        BOOST_REQUIRE_MESSAGE(value >= 0, name);
        return value;
    };
    f.loop.post([&] { f.clock.advance(std::chrono::milliseconds(600)); });
    f.runIterations(2);
    f.advance(std::chrono::seconds(1));
    BOOST_TEST(metric("lagoonbank_gateway_loop_wanted_seconds_total") >= 0.6);
    BOOST_TEST(metric("lagoonbank_gateway_loop_turn_seconds_count") > 0);
    BOOST_TEST(metric("lagoonbank_gateway_loop_turn_seconds_sum") >= 0.6);
    BOOST_TEST(metric("lagoonbank_gateway_request_unread_seconds_count") == 0);
    for (int i = 0; i < 300; ++i) {
        f.clock.advance(std::chrono::milliseconds(10));
        f.runIterations(1);
    }
    BOOST_TEST(metric("lagoonbank_gateway_loop_behind_seconds") < 0.2);
    BOOST_TEST(metric("lagoonbank_gateway_caller_connections") == 0);
}

BOOST_AUTO_TEST_CASE(gracefulStopLosesNoRequests)
{
    Fixture f;
    f.start();
    BOOST_REQUIRE(f.isReadyWith("200"));
    f.router->stopGracefully();
    BOOST_TEST(f.isReadyWith("503"));
    RawSocket caller = f.call();
    int accepted = -1;
    BOOST_REQUIRE(f.runUntil([&] { return (accepted = f.engine.accept()) >= 0; }));
    RawSocket engine(accepted);
    BOOST_TEST(f.passUntil([&] { return engine.has("\r\n\r\n"); }));
    engine.send("HTTP/1.1 200 OK\r\nLagoonbank-Attempt-Id: 9c\r\nLagoonbank-Server-Seal: 3e\r\n"
                "Content-Length: 2\r\n\r\nok");
    BOOST_TEST(f.runUntil([&] { return caller.has("\r\n\r\nok"); }));
    BOOST_TEST(caller.has("Connection: close\r\n"));
}

BOOST_AUTO_TEST_CASE(reloadAppliesValidSettingsOnly)
{
    Fixture f;
    f.start();
    BOOST_REQUIRE(f.isReadyWith("200"));
    f.router->reload(Schema::SettingsErrors{{"router.yaml", 3, "vm is missing"}});
    Schema::GatewaySettings next = f.settings;
    next.retryBudget.slack = 1000;
    f.router->reload(next);
    BOOST_TEST(f.isReadyWith("200"));
}

BOOST_AUTO_TEST_CASE(metricsAreServedOnTheirOwnAddress)
{
    Fixture f;
    f.start();
    BOOST_REQUIRE(f.isReadyWith("200"));
    RawSocket collector = f.connect(*f.settings.metricsAddress);
    collector.send("GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n");
    BOOST_TEST(
        f.runUntil([&] { return collector.has("lagoonbank_gateway_configuration_revision 7"); }));
}

BOOST_AUTO_TEST_CASE(drainedDataCentreGetsNoRequestsUntilDrainEnds)
{
    Fixture f;
    f.store.drained = {"another", "dc0"};
    f.start();
    BOOST_REQUIRE(f.isReadyWith("200"));
    RawSocket refused = f.call();
    BOOST_TEST(f.passUntil([&] { return refused.has("no_endpoint"); }));
    BOOST_TEST(refused.has("HTTP/1.1 503"));
    BOOST_REQUIRE(f.passUntil([&] { return f.store.waiting.contains(false); }));
    f.store.dropOperatorRecord("evacuate/dc0");
    f.advance(std::chrono::milliseconds(100));
    RawSocket caller = f.call();
    int accepted = -1;
    BOOST_REQUIRE(f.passUntil([&] { return (accepted = f.engine.accept()) >= 0; }));
    RawSocket engine(accepted);
    BOOST_TEST(f.passUntil([&] { return engine.has("GET /p/1 HTTP/1.1"); }));
}

/// The records that removed the drains are no longer retained, so the router only sees that both
/// drains are missing from the next listing.
BOOST_AUTO_TEST_CASE(drainsAbsentFromARepeatedListingEndTogether)
{
    Fixture f;
    f.store.drained = {"another", "dc0"};
    f.start();
    BOOST_REQUIRE(f.isReadyWith("200"));
    BOOST_REQUIRE(f.passUntil([&] { return f.store.waiting.contains(false); }));
    f.store.drained.clear();
    f.store.end = 4;
    f.store.loseHistory();
    BOOST_REQUIRE(f.passUntil([&] { return f.store.waiting.contains(false); }));
    RawSocket caller = f.call();
    int accepted = -1;
    BOOST_REQUIRE(f.passUntil([&] { return (accepted = f.engine.accept()) >= 0; }));
}
