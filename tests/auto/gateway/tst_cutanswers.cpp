#define BOOST_TEST_MODULE tst_cutanswers
#include "auto/gateway/partition.h"
#include "auto/gateway/streamanswers.h"
#include "auto/gateway/wholeanswer.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace Lagoonbank;
using Lagoonbank::Test::chunk;
using Lagoonbank::Test::event;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::readWholeAnswer;
using Lagoonbank::Test::streamRoute;
using RouteKind = Fleet::RouteKind;

// Guards against answers that end early and look whole to callers: those of endpoints, and those of
// endpoints that a peer router relays, are cut after each of their bytes.

namespace {

enum class End { Close, HalfClose, Reset };

const std::string events = event(1) + event(2) + event(3);

/// An answer with the body `events`.
struct Answer
{
    const char *name;
    std::string head;
    std::string body;
    bool isFramed = true; ///< Its end is marked by more than the end of the connection.

    std::string bytes() const { return head + body; }
};

std::vector<Answer> answers()
{
    const std::string fields = " 200 OK\r\nx-id: r1\r\nx-endpoint: e0\r\n";
    const std::string length = "content-length: " + std::to_string(events.size()) + "\r\n\r\n";
    const std::string interim =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n";
    const std::string chunks = "1;a=b\r\n" + events.substr(0, 1) + "\r\n"
        + chunk(std::string_view(events).substr(1)) + "0\r\nx-trailer: y\r\n\r\n";
    return {
        {"with a length", "HTTP/1.1" + fields + length, events},
        {"of HTTP/1.0 with a length", "HTTP/1.0" + fields + length, events},
        {"after interim answers", interim + "HTTP/1.1" + fields + length, events},
        {"in chunks", "HTTP/1.1" + fields + "transfer-encoding: chunked\r\n\r\n", chunks},
        {"framed by the close", "HTTP/1.1" + fields + "\r\n", events, false},
        {"of HTTP/1.0 framed by the close", "HTTP/1.0" + fields + "\r\n", events, false},
    };
}

/// The events that are complete in the first bytes of a body.
std::string completeEvents(std::string_view body)
{
    const std::size_t end = body.rfind("\n\n");
    return std::string(body.substr(0, end == std::string_view::npos ? 0 : end + 2));
}

void end(RawSocket &socket, End kind)
{
    if (kind == End::Close)
        socket.close();
    else if (kind == End::HalfClose)
        socket.finishSending();
    else
        socket.reset();
}

/// Whether the cut cannot be told from the end of the answer.
bool isUndetectable(const Answer &answer, std::size_t cut, End kind, bool isStream)
{
    if (answer.isFramed || kind == End::Reset || cut < answer.head.size())
        return false;
    const std::string body = answer.body.substr(0, cut - answer.head.size());
    return !isStream || (!body.empty() && completeEvents(body) == body);
}

/// Sends the first bytes of an answer, ends the connection, and returns what the caller received.
std::string receiveCut(GatewayFixture &f, RawSocket &caller, FakeEndpoint &sender,
                       std::string_view bytes, End kind)
{
    sender.last().send(bytes);
    f.runIterations(1);
    end(sender.last(), kind);
    BOOST_TEST_REQUIRE(
        f.runUntil([&] { return caller.isEnded() || readWholeAnswer(caller.receive()); }));
    return caller.receive();
}

void checkCuts(const Answer &answer, bool isStream, bool isRelayed, End kind)
{
    for (std::size_t cut = 0; cut < answer.bytes().size(); ++cut) {
        BOOST_TEST_CONTEXT((isStream ? "stream " : "body ")
                           << answer.name << (isRelayed ? ", relayed" : "") << ", end "
                           << static_cast<int>(kind) << ", after " << cut << " bytes")
        {
            Partition f(RouteKind::NonIdempotent);
            if (isStream)
                f.setRoute(streamRoute(false));
            f.setUnreachable(isRelayed);
            RawSocket caller = f.call();
            FakeEndpoint &sender = isRelayed ? f.awaitRelayed() : f.awaitRequest();
            const std::string received = receiveCut(
                f, caller, sender, std::string_view(answer.bytes()).substr(0, cut), kind);
            const auto whole = readWholeAnswer(received);
            const bool mayLookWhole = isUndetectable(answer, cut, kind, isStream);
            const bool looksGood = whole && whole->status == 200;
            BOOST_TEST(looksGood == mayLookWhole);
            if (looksGood)
                BOOST_TEST(whole->body == answer.body.substr(0, cut - answer.head.size()));
            BOOST_TEST((!whole || looksGood || whole->status == 502));
            BOOST_TEST(f.requests() + f.relayed() == 1U);
        }
    }
}

void checkAnswers(bool isStream, bool isRelayed)
{
    for (const Answer &answer : answers()) {
        for (const End kind : {End::Close, End::HalfClose, End::Reset})
            checkCuts(answer, isStream, isRelayed, kind);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(cutBodyOfAnEndpointIsNotWhole)
{
    checkAnswers(false, false);
}

BOOST_AUTO_TEST_CASE(cutStreamOfAnEndpointIsNotWhole)
{
    checkAnswers(true, false);
}

BOOST_AUTO_TEST_CASE(cutBodyOfAPeerIsNotWhole)
{
    checkAnswers(false, true);
}

BOOST_AUTO_TEST_CASE(cutStreamOfAPeerIsNotWhole)
{
    checkAnswers(true, true);
}

/// Guards against events that are missing or come twice in a stream that goes on at another
/// endpoint, wherever the answer of the first one was cut.
BOOST_AUTO_TEST_CASE(resumedStreamHasEachEventOnce)
{
    for (const Answer &answer : answers()) {
        for (std::size_t cut = 0; cut < answer.bytes().size(); ++cut) {
            const End kind = cut % 2 == 0 ? End::Close : End::Reset;
            if (isUndetectable(answer, cut, kind, true))
                continue;
            BOOST_TEST_CONTEXT(answer.name << ", after " << cut << " bytes")
            {
                GatewayFixture f;
                f.setRoute(streamRoute(true));
                RawSocket caller = f.call();
                FakeEndpoint &first = f.awaitRequest();
                first.last().send(std::string_view(answer.bytes()).substr(0, cut));
                f.runIterations(1);
                end(first.last(), kind);
                FakeEndpoint &second = f.awaitRequest();
                int from = 1;
                for (int id = 1; id <= 3; ++id) {
                    if (second.last().has("x-resume: " + std::to_string(id) + "\r\n"))
                        from = id + 1;
                }
                std::string rest;
                for (int id = from; id <= 3; ++id)
                    rest += event(id);
                second.last().send("HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: "
                                   + std::to_string(rest.size()) + "\r\n\r\n" + rest);
                BOOST_TEST_REQUIRE(f.runUntil(
                    [&] { return caller.isEnded() || readWholeAnswer(caller.receive()); }));
                const auto whole = readWholeAnswer(caller.receive());
                BOOST_TEST_REQUIRE(whole.has_value());
                BOOST_TEST(whole->status == 200);
                BOOST_TEST(whole->body == events);
            }
        }
    }
}
