#define BOOST_TEST_MODULE tst_softwareversions
#include "auto/gateway/gatewayfixture.h"
#include "auto/gateway/streamanswers.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Lagoonbank;
using Lagoonbank::Test::chunk;
using Lagoonbank::Test::event;
using Lagoonbank::Test::RawSocket;
using Lagoonbank::Test::streamEnd;
using Lagoonbank::Test::streamHead;
using Lagoonbank::Test::streamRoute;
using std::chrono::milliseconds;

// Guards against streams with events of two software versions: what they generate does not fit
// together, and endpoints resume any stream. Endpoints of both versions serve side by side.

namespace {

/// Four endpoints, of which the first two and the last two run the same version, and a stream of
/// which the caller has received two events. Endpoints that could resume it have the highest load.
struct MixedVersions : GatewayFixture
{
    MixedVersions()
        : GatewayFixture(4)
    {
        for (std::size_t i = 0; i < endpoints.size(); ++i)
            putEndpoint(i, i < 2 ? "v1" : "v2");
        setRoute(streamRoute(true));
        caller.emplace(call());
        FakeEndpoint &serving = awaitRequest();
        while (endpoints[first].get() != &serving)
            ++first;
        same = first ^ 1U;
        for (const std::size_t index : {first, same}) {
            record(index).report = Gateway::LoadReport{.running = 2, .slots = 4};
            record(index).reportedAt = clock.now();
        }
        serving.last().send(std::string(streamHead) + chunk(event(1) + event(2)));
        BOOST_REQUIRE(runUntil([&] { return caller->has("e2"); }));
    }
    Gateway::EndpointRecord &record(std::size_t index)
    {
        return *gateway.endpoints().find(Base::EndpointId("e" + std::to_string(index)));
    }
    FakeEndpoint &firstEndpoint() { return *endpoints[first]; }

    std::optional<RawSocket> caller;
    std::size_t first = 0; ///< Serves the stream.
    std::size_t same = 0; ///< The other endpoint of that version.
};

} // namespace

/// Guards against a stream that goes on at another version within an answer: its endpoint breaks it
/// off or falls silent.
BOOST_AUTO_TEST_CASE(streamIsMovedWithinItsSoftwareVersion)
{
    for (const bool isSilent : {false, true}) {
        BOOST_TEST_CONTEXT((isSilent ? "falls silent" : "breaks off"))
        {
            MixedVersions f;
            if (isSilent)
                f.pass(milliseconds(160));
            else
                f.firstEndpoint().last().close();
            FakeEndpoint &second = f.awaitRequest();
            BOOST_TEST(&second == f.endpoints[f.same].get());
            BOOST_TEST(second.last().has("x-resume: 2"));
            second.last().send(std::string(streamHead) + chunk(event(3)) + std::string(streamEnd));
            BOOST_TEST(f.runUntil([&] { return f.caller->has("\r\n0\r\n\r\n"); }));
        }
    }
}

/// Guards against a stream that goes on at another version over a caller's requests: the caller
/// lost its connection and resumes the stream.
BOOST_AUTO_TEST_CASE(callerResumesStreamAtItsSoftwareVersion)
{
    MixedVersions f;
    f.caller->close();
    f.runIterations(10);
    f.resumes = Base::RequestId("r1");
    f.resumeAfter = 2;
    RawSocket again = f.call();
    FakeEndpoint &second = f.awaitRequest();
    const bool isSameVersion =
        &second == f.endpoints[f.same].get() || &second == &f.firstEndpoint();
    BOOST_TEST(isSameVersion);
    BOOST_TEST(second.last().has("x-resume: 2"));
}

/// Guards against a stream that goes on at another version as none of its own is left, and against
/// a wait for what will not come.
BOOST_AUTO_TEST_CASE(streamWithoutEndpointOfItsSoftwareVersionIsCut)
{
    MixedVersions f;
    f.record(f.same).notice.isLeaving = true;
    f.firstEndpoint().last().close();
    BOOST_TEST(f.runUntil([&] { return f.caller->isEnded(); }));
    BOOST_TEST(!f.caller->has("\r\n0\r\n\r\n"));
    BOOST_TEST(f.requests() == 1U);
}

/// Guards against streams that wait for a slot at their version, and keep requests waiting that
/// endpoints of another version have slots for.
BOOST_AUTO_TEST_CASE(streamThatWaitsForItsSoftwareVersionBlocksNoOther)
{
    MixedVersions f;
    f.record(f.same).report->running = 4;
    f.firstEndpoint().last().close();
    f.runIterations(5);
    BOOST_TEST(f.requests() == 1U);
    RawSocket other = f.call();
    FakeEndpoint &second = f.awaitRequest();
    BOOST_TEST(&second != f.endpoints[f.same].get());
    BOOST_TEST(second.last().has("x-id: r2"));
    BOOST_TEST(!f.caller->isEnded());
}

/// Guards against a stream that goes on anywhere after a second break: the caller names the first
/// request again, and the second one has ended at another router.
BOOST_AUTO_TEST_CASE(streamOfAPeerIsResumedAtItsSoftwareVersion)
{
    MixedVersions f;
    f.gateway.streamReceived(
        {.stream = Gateway::streamHash("far"), .software = f.record(f.same).software});
    f.resumes = Base::RequestId("far");
    f.resumeAfter = 9;
    RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    const bool isSameVersion =
        &endpoint == f.endpoints[f.same].get() || &endpoint == &f.firstEndpoint();
    BOOST_TEST(isSameVersion);
}

/// Guards against a resume at any version by callers whose last event has an id that is no number.
BOOST_AUTO_TEST_CASE(streamAfterAnUnreadableEventIdStaysAtItsSoftwareVersion)
{
    MixedVersions f;
    f.gateway.streamReceived(
        {.stream = Gateway::streamHash("far"), .software = f.record(f.same).software});
    f.resumes = Base::RequestId("far");
    f.unreadableEventId = "x9";
    RawSocket caller = f.call();
    FakeEndpoint &endpoint = f.awaitRequest();
    const bool isSameVersion =
        &endpoint == f.endpoints[f.same].get() || &endpoint == &f.firstEndpoint();
    BOOST_TEST(isSameVersion);
}

/// Guards against a resume at any version by callers that do not say which stream they resume.
BOOST_AUTO_TEST_CASE(unnamedStreamIsRefusedWhileVersionsAreMixed)
{
    MixedVersions f;
    f.resumeAfter = 2;
    RawSocket caller = f.call();
    BOOST_TEST(f.runUntil([&] { return caller.has("ran=no"); }));
    BOOST_TEST(f.requests() == 1U);
}

/// Guards against streams of a version that has just left which go on at the one that is left.
BOOST_AUTO_TEST_CASE(versionCountsForAWhileAfterItsLastEndpoint)
{
    MixedVersions f;
    f.caller->close();
    f.runIterations(10);
    const Base::MonoTime now = f.clock.now();
    for (const std::size_t index : {f.first, f.same})
        f.gateway.endpoints().remove(f.record(index).info.id, now);
    f.resumes = Base::RequestId("r1");
    f.resumeAfter = 2;
    RawSocket early = f.call();
    BOOST_TEST(f.runUntil([&] { return early.has("ran=no"); }));
    f.advance(std::chrono::minutes(2));
    f.pass(milliseconds(200)); // The router takes the jump of its clock for a delay of its own.
    f.resumes = Base::RequestId("never-seen");
    RawSocket late = f.call();
    f.awaitRequest();
    BOOST_TEST(!late.has("ran=no"));
}

/// Guards against a stream that goes on at another service: a route divides its requests between
/// two, by the id of a request, and the one that resumes a stream has another id.
BOOST_AUTO_TEST_CASE(resumedStreamStaysWithItsService)
{
    GatewayFixture f(1);
    f.endpoints.push_back(std::make_unique<FakeEndpoint>());
    f.gateway.endpoints().put({.id = Base::EndpointId("e1"),
                               .service = Base::ServiceId("other"),
                               .address = f.endpoints.back()->listener.address,
                               .slots = 32},
                              f.clock.now());
    Fleet::Route route = streamRoute(true);
    route.host = "a";
    route.prefix = "/";
    route.services = {{Base::ServiceId("service"), 0.5}, {Base::ServiceId("other"), 0.5}};
    f.gateway.setConfiguration(std::make_shared<const Fleet::Configuration>(
        Fleet::ConfigurationParts{.revision = Base::Revision(1),
                                  .routes = {route},
                                  .services = {{.name = Base::ServiceId("service")},
                                               {.name = Base::ServiceId("other")}}}));
    RawSocket first = f.call();
    FakeEndpoint &serving = f.awaitRequest();
    f.resumes = Base::RequestId("r1");
    f.resumeAfter = 1;
    std::vector<RawSocket> callers;
    for (int i = 0; i < 12; ++i) {
        callers.push_back(f.call());
        BOOST_TEST(&f.awaitRequest() == &serving);
        f.runIterations(2);
        callers.back().close();
        f.runIterations(5);
    }
}
