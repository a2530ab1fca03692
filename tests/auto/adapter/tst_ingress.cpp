#define BOOST_TEST_MODULE tst_ingress
#include <boost/test/unit_test.hpp>

#include "auto/adapter/onerouter.h"
#include "platform/enginecodec.h"
#include "platform/ingress.h"

#include <optional>
#include <string>
#include <string_view>

using namespace Lagoonbank;

namespace {

/// Records the answer that is sent to a caller.
struct FakeResponder final : Http::Responder
{
    void send(int sentStatus, const Http::Headers &sentHeaders, std::string sentBody) override
    {
        status = sentStatus;
        headers = sentHeaders;
        body = std::move(sentBody);
    }
    void begin(int, const Http::Headers &) override { }
    void write(std::string_view) override { }
    void end() override { }
    void abort() override { }
    std::size_t queuedBytes() const override { return 0; }
    bool isDisconnected() const override { return false; }
    void setDisconnectHandler(std::function<void()>) override { }
    void setDrainHandler(std::function<void()>) override { }

    int status = 0;
    Http::Headers headers;
    std::string body;
};

Http::Request exampleRequest()
{
    return {.method = "POST",
            .path = "/x/2f",
            .query = "a=b",
            .headers = {{"host", "h.example"},
                        {"lagoonbank-attempt-id", "9c41"},
                        {"last-event-id", "12"},
                        {"resumes", "8b30"},
                        {"lagoonbank-model", "m"},
                        {"lagoonbank-token-count", "1460,80"},
                        {"lagoonbank-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                        {"lagoonbank-deadline-remaining", "15000"},
                        {"api-key", "secret"},
                        {"x-own", "kept"}},
            .body = "body"};
}

} // namespace

BOOST_AUTO_TEST_CASE(decodesARequest)
{
    const auto read = Platform::readRequest(exampleRequest());
    BOOST_REQUIRE(read);
    const Gateway::CallerRequest &request = read.value();
    BOOST_TEST(request.id.value() == "9c41");
    BOOST_TEST(request.target == "/x/2f?a=b");
    BOOST_TEST(request.host == "h.example");
    BOOST_TEST(request.key.value_or("") == "secret");
    BOOST_TEST((request.remainingTimeout == Base::Duration(std::chrono::seconds(15))));
    BOOST_TEST((request.resumeAfter == 12U));
    BOOST_REQUIRE(request.resumes);
    BOOST_TEST(request.resumes->value() == "8b30");
    BOOST_REQUIRE(request.prompt);
    BOOST_TEST(request.prompt->model == "m");
    BOOST_TEST(request.prompt->promptTokens.value() == 1460);
    BOOST_TEST(request.prompt->maxOutput.value() == 80);
    BOOST_REQUIRE(request.prompt->parts.size() == 3U);
    BOOST_TEST(request.prompt->parts[1].id == 0x91bd3f06U);
    BOOST_TEST(request.prompt->parts[1].tokens.value() == 410);
    BOOST_TEST(request.body == "body");
    // Fields for the endpoint are forwarded unchanged; the caller's key is not forwarded.
    BOOST_TEST(request.headers.find("x-own").value_or("") == "kept");
    BOOST_TEST(request.headers.find("lagoonbank-token-count").value_or("") == "1460,80");
    BOOST_TEST(!request.headers.find("api-key"));
}

/// Guards against a target that reaches the endpoint changed.
BOOST_AUTO_TEST_CASE(emptyQueryIsKept)
{
    for (const std::string target : {"/p/1?", "/p/1?a=b", "/p/1"}) {
        BOOST_TEST_CONTEXT(target)
        {
            OneRouter f(1);
            Test::RawSocket caller(Runtime::parseSocketAddress(f.settings.listenAddress).value());
            caller.send("GET " + target
                        + " HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: a1\r\n\r\n");
            std::string sent;
            BOOST_REQUIRE(f.runUntil([&] {
                f.clock.advance(std::chrono::milliseconds(1));
                Engine &engine = *f.engines.front();
                for (int fd = engine.listener.accept(); fd >= 0; fd = engine.listener.accept())
                    engine.connections.push_back(std::make_unique<Test::RawSocket>(fd));
                for (const auto &connection : engine.connections) {
                    if (connection->has("\r\n\r\n"))
                        sent = connection->receive();
                }
                return !sent.empty();
            }));
            BOOST_TEST(sent.substr(0, sent.find('\r')) == "GET " + target + " HTTP/1.1");
        }
    }
}

/// Guards against an id of an event that is dropped as it is not a number.
BOOST_AUTO_TEST_CASE(unreadableEventIdIsKept)
{
    for (const char *id : {"x", "", "-1", "1.5", "99999999999999999999"}) {
        BOOST_TEST_CONTEXT(id)
        {
            Http::Request request = exampleRequest();
            request.headers = {
                {"host", "h"}, {"lagoonbank-attempt-id", "1"}, {"last-event-id", id}};
            const auto read = Platform::readRequest(std::move(request));
            BOOST_REQUIRE(read);
            BOOST_TEST(!read.value().resumeAfter);
            BOOST_TEST(read.value().unreadableEventId.value_or("unset") == id);
            const Fleet::Endpoint endpoint;
            const Http::Call call = Platform::endpointProtocol().makeCall(
                {.request = &read.value(), .endpoint = &endpoint});
            BOOST_TEST(call.headers.find("last-event-id").value_or("unset") == id);
        }
    }
}

BOOST_AUTO_TEST_CASE(fleetOnlyFieldsAreNotForwarded)
{
    for (const char *name :
         {"lagoonbank-tenant", "lagoonbank-expect-instance", "lagoonbank-request-priority",
          "lagoonbank-kv-hold", "lagoonbank-pin-duration", "lagoonbank-kv-backup", "kv-from",
          "kv-fetch", "connection", "keep-alive", "te", "upgrade", "transfer-encoding",
          "x-named-by-connection"}) {
        BOOST_TEST_CONTEXT(name)
        {
            Http::Request request = exampleRequest();
            request.headers.add("connection", "close, X-Named-By-Connection");
            request.headers.add(name, "1");
            const auto read = Platform::readRequest(std::move(request));
            BOOST_REQUIRE(read);
            BOOST_TEST(!read.value().headers.find(name));
        }
    }
}

BOOST_AUTO_TEST_CASE(malformedRequestIsRejected)
{
    Http::Request noId = exampleRequest();
    noId.headers = {{"host", "h"}};
    const auto noIdRead = Platform::readRequest(std::move(noId));
    BOOST_TEST(!noIdRead);
    Http::Request noHost = exampleRequest();
    noHost.headers = {{"lagoonbank-attempt-id", "1"}};
    const auto noHostRead = Platform::readRequest(std::move(noHost));
    BOOST_TEST(!noHostRead);
    for (const char *remaining : {"", "x", "-1", "1.5", "99999999999999999999"}) {
        Http::Request request = exampleRequest();
        request.headers = {{"host", "h"},
                           {"lagoonbank-attempt-id", "1"},
                           {"lagoonbank-deadline-remaining", remaining}};
        const auto read = Platform::readRequest(std::move(request));
        BOOST_TEST(!read, remaining);
    }
}

BOOST_AUTO_TEST_CASE(unreadablePromptIsForwardedButNotUsed)
{
    for (const char *parts : {"", "xyz", "5c:", "zz:5", "5c:5,", ":5"}) {
        Http::Request request = exampleRequest();
        request.headers = {{"host", "h"},
                           {"lagoonbank-attempt-id", "1"},
                           {"lagoonbank-model", "m"},
                           {"lagoonbank-prompt-prefix", parts}};
        const auto read = Platform::readRequest(std::move(request));
        BOOST_REQUIRE(read);
        BOOST_TEST(!read.value().prompt, parts);
        BOOST_TEST(read.value().headers.find("lagoonbank-prompt-prefix").value_or("?") == parts);
    }
}

/// 429 and 503 guarantee that the request has not run and never will.
BOOST_AUTO_TEST_CASE(statusClaimsNotRunOnlyIfKnown)
{
    using Errors::ErrorKind;
    using Errors::Ran;
    struct Row
    {
        ErrorKind kind;
        Ran ran;
        int status;
    };
    const Row rows[]{{ErrorKind::NotReady, Ran::No, 503},
                     {ErrorKind::NoEndpoint, Ran::No, 503},
                     {ErrorKind::NoEndpoint, Ran::Unknown, 502},
                     {ErrorKind::EndpointRefused, Ran::No, 503},
                     {ErrorKind::EndpointRefused, Ran::Unknown, 502},
                     {ErrorKind::EndpointUnreachable, Ran::No, 503},
                     {ErrorKind::EndpointBroke, Ran::Unknown, 502},
                     {ErrorKind::EndpointTimeout, Ran::Unknown, 504},
                     {ErrorKind::EndpointTimeout, Ran::No, 503},
                     {ErrorKind::AnswerMismatch, Ran::Unknown, 502},
                     {ErrorKind::NotFound, Ran::No, 404},
                     {ErrorKind::UnknownKey, Ran::No, 401},
                     {ErrorKind::MissingKey, Ran::No, 401},
                     {ErrorKind::BadRequest, Ran::No, 400}};
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(Errors::toString(row.kind))
        {
            FakeResponder responder;
            Platform::sendRefusal(responder, {.kind = row.kind, .ran = row.ran});
            BOOST_TEST(responder.status == row.status);
            BOOST_TEST(!responder.headers.find("lagoonbank-server-seal"));
        }
    }
    for (const Errors::ErrorRow &row : Errors::errorTable()) {
        FakeResponder responder;
        Platform::sendRefusal(responder, {.kind = row.kind, .ran = Ran::Unknown});
        BOOST_TEST((responder.status == 502 || responder.status == 504), row.name);
    }
}

BOOST_AUTO_TEST_CASE(retryAfterMayBeFractional)
{
    FakeResponder responder;
    Platform::sendRefusal(
        responder,
        {.kind = Errors::ErrorKind::NoEndpoint, .retryAfter = std::chrono::milliseconds(150)});
    BOOST_TEST(responder.headers.find("retry-after").value_or("") == "0.150");
}
