#define BOOST_TEST_MODULE tst_relayedends
#include "auto/adapter/partitionedrouter.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace Lagoonbank;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::readWholeAnswer;
using Lagoonbank::Test::WholeAnswer;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against answers that look complete to the callers of a router that relays their requests
// to a peer, although the process of the endpoint or that of the peer has ended: the system closes
// the connections of a process that has ended in the same way as the process itself.

namespace {

const std::vector<std::string> events = {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n",
                                         "id: 3\ndata: c\n\n"};
const std::string allEvents = events[0] + events[1] + events[2];
const std::string unframedBody = "\r\n" + allEvents;
const std::string chunkedBody = "Transfer-Encoding: chunked\r\n\r\nf\r\n" + events[0] + "\r\nf\r\n"
    + events[1] + "\r\nf\r\n" + events[2] + "\r\n0\r\n\r\n";

struct Route
{
    const char *kind;
    bool isResumable;

    bool isStreaming() const { return std::string(kind) == "streaming"; }
};

/// A request whose answer has begun.
struct Begun
{
    std::string id;
    RawSocket caller;
    Engine *engine = nullptr;
    RawSocket *connection = nullptr; ///< At the endpoint.
    std::string rest; ///< Of the answer.

    std::optional<WholeAnswer> answer() { return readWholeAnswer(caller.receive()); }
};

struct RelayedEnds : PartitionedRouter
{
    explicit RelayedEnds(const Route &route, const std::string &framedBody = unframedBody)
    {
        for (KeyedStore &store : stores)
            store.writeRoute(8, "/p/", route.kind, route.isResumable);
        for (Engine &engine : engines)
            engine.framedBody = framedBody;
        call(0); // Finds out that no endpoint is reachable.
        pass(seconds(1));
        BOOST_TEST_REQUIRE(readWholeAnswer(call(0)).has_value());
    }
    /// Fills the retry budget of the peer, which relayed requests don't count for.
    void fillRetryBudget()
    {
        constexpr int requests = 50; // Enough for three retries.
        for (int i = 0; i < requests; ++i)
            call(1);
    }
    /// Sends a request to the partitioned router. An endpoint sends its answer up to the end of the
    /// \a sentEvents events that come first.
    Begun begin(std::size_t sentEvents)
    {
        const std::string id = "a" + std::to_string(++calls);
        Begun begun{.id = id,
                    .caller =
                        RawSocket(Runtime::parseSocketAddress(settings[0].listenAddress).value())};
        begun.caller.send("GET /p/" + std::to_string(calls)
                          + " HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: " + id + "\r\n\r\n");
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(milliseconds(1));
            return findRequest(begun);
        }));
        const std::string answer = begun.engine->answer(id);
        std::size_t sent = answer.find("\r\n\r\n") + 4;
        if (sentEvents > 0) {
            const std::string &last = events[sentEvents - 1];
            sent = answer.find(last) + last.size();
        }
        begun.connection->send(answer.substr(0, sent));
        begun.rest = answer.substr(sent);
        pass(milliseconds(20));
        return begun;
    }
    /// Closes all connections and the port of an endpoint.
    static void kill(Engine &engine)
    {
        engine.connections.clear();
        engine.listener.close();
    }
    /// Answers the request wherever it arrives, until the caller will get no more of the answer.
    void finish(Begun &begun)
    {
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(milliseconds(1));
            for (Engine &engine : engines)
                engine.work(begun.id);
            return isReceived(begun.caller);
        }));
    }

private:
    bool findRequest(Begun &begun)
    {
        for (Engine &engine : engines) {
            for (int fd = engine.listener.accept(); fd >= 0; fd = engine.listener.accept())
                engine.connections.push_back(std::make_unique<RawSocket>(fd));
            for (const auto &one : engine.connections) {
                if (!one->has("attempt-id: " + begun.id + "\r\n") || !one->has("\r\n\r\n"))
                    continue;
                begun.engine = &engine;
                begun.connection = one.get();
                return true;
            }
        }
        return false;
    }
};

constexpr Route cutStream{.kind = "streaming", .isResumable = false};
constexpr Route resumableStream{.kind = "streaming", .isResumable = true};
constexpr Route repeatablePlain{.kind = "idempotent", .isResumable = false};
constexpr Route plain{.kind = "non_idempotent", .isResumable = false};

} // namespace

/// A resumable stream is cut too if the peer has no retry left.
BOOST_AUTO_TEST_CASE(streamOfAKilledEndpointIsCut)
{
    for (const Route &route : {cutStream, resumableStream}) {
        RelayedEnds f(route);
        for (const std::size_t sent : {1U, 2U}) {
            BOOST_TEST_CONTEXT("resumable: " << route.isResumable << ", after " << sent
                                             << " events")
            {
                Begun stream = f.begin(sent);
                BOOST_TEST(stream.caller.has(events[sent - 1]));
                RelayedEnds::kill(*stream.engine);
                f.finish(stream);
                BOOST_TEST(!stream.answer().has_value());
                BOOST_TEST(!stream.caller.has(events[sent]));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(streamOfAKilledEndpointGoesOnElsewhere)
{
    RelayedEnds f(resumableStream);
    f.fillRetryBudget();
    for (const std::size_t sent : {1U, 2U}) {
        BOOST_TEST_CONTEXT("after " << sent << " events")
        {
            Begun stream = f.begin(sent);
            BOOST_TEST(stream.caller.has(events[sent - 1]));
            RelayedEnds::kill(*stream.engine);
            f.finish(stream);
            const auto answer = stream.answer();
            BOOST_TEST_REQUIRE(answer.has_value());
            BOOST_TEST(answer->status == 200);
            BOOST_TEST(answer->body == allEvents);
        }
    }
}

/// No event has been forwarded, so that the caller may still get an error status.
BOOST_AUTO_TEST_CASE(streamWithoutEventsOfAKilledEndpointIsNotWhole)
{
    for (const Route &route : {cutStream, resumableStream}) {
        BOOST_TEST_CONTEXT("resumable: " << route.isResumable)
        {
            RelayedEnds f(route);
            Begun stream = f.begin(0);
            RelayedEnds::kill(*stream.engine);
            f.finish(stream);
            const auto answer = stream.answer();
            BOOST_TEST((!answer || answer->status != 200 || answer->body == allEvents));
        }
    }
}

/// Guards against evidence from the other connections of a process that has ended, of which the
/// peer reads the closes one after another.
BOOST_AUTO_TEST_CASE(allStreamsOfAKilledEndpointAreCut)
{
    constexpr int count = 6;
    RelayedEnds f(cutStream);
    std::vector<Begun> streams;
    streams.reserve(count);
    for (int i = 0; i < count; ++i)
        streams.push_back(f.begin(2));
    std::map<Engine *, int> streamsOf;
    for (const Begun &stream : streams)
        ++streamsOf[stream.engine];
    Engine *const killed =
        std::max_element(streamsOf.begin(), streamsOf.end(), [](const auto &a, const auto &b) {
            return a.second < b.second;
        })->first;
    RelayedEnds::kill(*killed);
    int cut = 0;
    for (Begun &stream : streams) {
        const bool isCut = stream.engine == killed;
        if (!isCut) {
            stream.connection->send(stream.rest);
            stream.connection->close();
        }
        cut += isCut ? 1 : 0;
        BOOST_REQUIRE(f.runUntil([&] {
            f.clock.advance(milliseconds(1));
            return RelayedEnds::isReceived(stream.caller);
        }));
        BOOST_TEST(stream.answer().has_value() != isCut);
        BOOST_TEST(stream.caller.has(events[2]) != isCut);
    }
    BOOST_TEST(cut > 1);
}

BOOST_AUTO_TEST_CASE(plainAnswerOfAKilledEndpointIsNotForwarded)
{
    for (const bool hasRetries : {false, true}) {
        for (const Route &route : {repeatablePlain, plain}) {
            RelayedEnds f(route);
            if (hasRetries)
                f.fillRetryBudget();
            const bool isRetried = hasRetries && std::string(route.kind) == "idempotent";
            for (const std::size_t sent : {1U, 2U}) {
                BOOST_TEST_CONTEXT(route.kind << ", has retries: " << hasRetries << ", after "
                                              << sent << " pieces")
                {
                    Begun request = f.begin(sent);
                    RelayedEnds::kill(*request.engine);
                    f.finish(request);
                    const auto answer = request.answer();
                    BOOST_TEST_REQUIRE(answer.has_value());
                    BOOST_TEST(answer->status == (isRetried ? 200 : 502));
                    BOOST_TEST((answer->body == allEvents) == isRetried);
                    BOOST_TEST((answer->body.find(events[0]) != std::string::npos) == isRetried);
                }
            }
        }
    }
}

/// Guards against sound answers that are taken for broken off: each ends with its connection, and
/// the endpoint goes on.
BOOST_AUTO_TEST_CASE(soundAnswerIsWhole)
{
    for (const Route &route : {cutStream, resumableStream, repeatablePlain, plain}) {
        BOOST_TEST_CONTEXT(route.kind << ", resumable: " << route.isResumable)
        {
            constexpr int count = 50;
            RelayedEnds f(route);
            int before = 0;
            for (const Engine &engine : f.engines)
                before += engine.requests;
            int whole = 0;
            for (int i = 0; i < count; ++i) {
                const auto answer = readWholeAnswer(f.call(0));
                whole += answer && answer->status == 200 && answer->body == allEvents ? 1 : 0;
            }
            int sent = -before;
            for (const Engine &engine : f.engines)
                sent += engine.requests;
            BOOST_TEST(whole == count);
            BOOST_TEST(sent == count);
        }
    }
}

/// The newest stream ends first: older connections to its endpoint are open, which show that the
/// endpoint goes on.
BOOST_AUTO_TEST_CASE(soundStreamIsWholeBesideOthers)
{
    constexpr int count = 6;
    RelayedEnds f(cutStream);
    std::vector<Begun> streams;
    streams.reserve(count);
    for (int i = 0; i < count; ++i)
        streams.push_back(f.begin(1));
    for (auto newest = streams.rbegin(); newest != streams.rend(); ++newest) {
        Begun &stream = *newest;
        stream.connection->send(stream.rest);
        stream.connection->close();
        BOOST_REQUIRE(f.runUntil([&] {
            f.clock.advance(milliseconds(1));
            return RelayedEnds::isReceived(stream.caller);
        }));
        const auto answer = stream.answer();
        BOOST_TEST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->body == allEvents);
    }
}

BOOST_AUTO_TEST_CASE(answerOfAKilledPeerIsNotWhole)
{
    for (const Route &route : {cutStream, resumableStream, repeatablePlain, plain}) {
        for (const std::string &body : {unframedBody, chunkedBody}) {
            BOOST_TEST_CONTEXT(route.kind << ", resumable: " << route.isResumable
                                          << ", chunks: " << (body == chunkedBody))
            {
                RelayedEnds f(route, body);
                Begun request = f.begin(2);
                BOOST_TEST(request.caller.has(events[1]) == route.isStreaming());
                f.routers[1].reset();
                f.finish(request);
                const auto answer = request.answer();
                if (route.isStreaming())
                    BOOST_TEST(!answer.has_value());
                else
                    BOOST_TEST((answer && answer->status == 502));
            }
        }
    }
}

/// The peer ends while it waits for evidence that the endpoint goes on. It has not passed the end
/// of the stream on.
BOOST_AUTO_TEST_CASE(peerIsKilledBesideItsEndpoint)
{
    for (const Route &route : {cutStream, resumableStream}) {
        BOOST_TEST_CONTEXT("resumable: " << route.isResumable)
        {
            RelayedEnds f(route);
            Begun stream = f.begin(2);
            RelayedEnds::kill(*stream.engine);
            f.runIterations(1);
            f.routers[1].reset();
            f.finish(stream);
            BOOST_TEST(!stream.answer().has_value());
        }
    }
}
