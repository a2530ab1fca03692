#define BOOST_TEST_MODULE tst_softwareversionfleet
#include "auto/adapter/keyedstore.h"
#include "platform/routerprocess.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Lagoonbank;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against the failure of tst_softwareversions in a fleet: the router that began a stream has
// ended, and another one does not know at which software version the stream has to go on.

namespace {

constexpr int routerCount = 4;
constexpr int loneRouter = routerCount - 1;
constexpr std::size_t engineCount = 4; ///< Half of them run each version.

/// An endpoint that sends one event and then nothing.
struct Engine
{
    Test::RawListener listener;
    std::vector<std::unique_ptr<RawSocket>> connections;
    std::size_t answered = 0;

    static std::string valueOf(const std::string &request, const std::string &field)
    {
        const std::size_t at = request.find("\r\n" + field + ": ");
        if (at == std::string::npos)
            return {};
        const std::size_t begin = at + field.size() + 4;
        return request.substr(begin, request.find("\r\n", begin) - begin);
    }
    /// Answers new requests. Returns the number of those that resume a stream.
    int answerRequests()
    {
        for (int fd = listener.accept(); fd >= 0; fd = listener.accept())
            connections.push_back(std::make_unique<RawSocket>(fd));
        int resumed = 0;
        for (; answered < connections.size(); ++answered) {
            RawSocket &connection = *connections[answered];
            if (!connection.has("\r\n\r\n"))
                break;
            const std::string request = connection.receive();
            const std::string last = valueOf(request, "last-event-id");
            const int event = last.empty() ? 1 : std::stoi(last) + 1;
            resumed += last.empty() ? 0 : 1;
            connection.send("HTTP/1.1 200 OK\r\nlagoonbank-attempt-id: "
                            + valueOf(request, "lagoonbank-attempt-id")
                            + "\r\nlagoonbank-server-seal: 1\r\n\r\nid: " + std::to_string(event)
                            + "\ndata: x\n\n");
        }
        return resumed;
    }
};

struct RouterFleet : Test::PausedLoop
{
    explicit RouterFleet(bool isMixed = true, bool withLoneRouter = false, int cutOffRouters = 0)
        : hasLoneRouter(withLoneRouter)
    {
        for (int i = 0; i < cutOffRouters; ++i)
            store.write("keyed.lagoonbank-routers", "cut-off-" + std::to_string(i),
                        "dc0 " + Test::freeAddress() + " 1");
        store.writeRoute(7, "/p/", "streaming");
        for (std::size_t i = 0; i < engineCount; ++i) {
            engines.push_back(std::make_unique<Engine>());
            writeEngine(i, isMixed && i % 2 == 1 ? "v2" : "v1");
        }
        for (const std::string topic : {"keyed.op", "keyed.servers"})
            loneStore.copyTopic(store, topic);
        for (int i = 0; i < routerCount; ++i)
            start(i);
        pass(seconds(2));
    }
    void writeEngine(std::size_t index, const std::string &version)
    {
        store.writeEndpoint("i-" + std::to_string(index), engines[index]->listener.address,
                            {.slots = 32, .sequence = ++sequence, .softwareVersion = version});
    }
    void start(int index)
    {
        Schema::GatewaySettings &settings = settingsOf[index];
        settings.vm = Base::VmId("edge-" + std::to_string(index));
        settings.dataCentre = Base::DataCentreId("dc0");
        settings.listenAddress = Test::freeAddress();
        settings.readyAddress = Test::freeAddress();
        settings.peerAddress = Test::freeAddress();
        const bool isAlone = hasLoneRouter && index == loneRouter;
        settings.storeAddress = Runtime::toString((isAlone ? loneStore : store).server.address());
        run(index);
    }
    /// Starts a router that has ended, at the same addresses.
    void run(int index)
    {
        routers[index] = std::make_unique<Platform::RouterProcess>(loop, settingsOf.at(index));
        BOOST_REQUIRE(routers[index]->start());
    }
    /// Ends all routers at once and starts them again.
    void restartAll(const std::function<void()> &meanwhile = {})
    {
        routers.clear();
        if (meanwhile)
            meanwhile();
        for (int i = 0; i < routerCount; ++i)
            run(i);
        pass(seconds(1));
    }
    /// Removes the entry of an endpoint, which serves on.
    void removeEngine(std::size_t index)
    {
        store.write("keyed.servers", "i-" + std::to_string(index), {});
    }
    /// Sends a request. If it resumes a stream, the caller has that one's first event.
    RawSocket request(int router, const std::string &id, const std::string &resumes = {})
    {
        RawSocket caller(Runtime::parseSocketAddress(settingsOf.at(router).listenAddress).value());
        std::string text = "GET /p/1 HTTP/1.1\r\nhost: h\r\nlagoonbank-attempt-id: " + id + "\r\n";
        if (!resumes.empty())
            text += "last-event-id: 1\r\nresumes: " + resumes + "\r\n";
        caller.send(text + "\r\n");
        return caller;
    }
    /// Waits until the caller has received something. Returns the engine that resumed a stream
    /// meanwhile, or -1 if none did.
    int awaitAnswer(RawSocket &caller)
    {
        int resumedAt = -1;
        BOOST_REQUIRE(runUntil([&] {
            clock.advance(milliseconds(1));
            for (std::size_t i = 0; i < engineCount; ++i) {
                if (engines[i]->answerRequests() > 0)
                    resumedAt = static_cast<int>(i);
            }
            return caller.has("\r\n\r\n");
        }));
        return resumedAt;
    }
    /// Resumes a stream of router 0 at another router, which sends its second event. Returns the
    /// engine that resumed it, or -1 if none did.
    int resume(int stream, int router)
    {
        const std::string number = std::to_string(stream);
        RawSocket caller = request(router, "u" + number, "s" + number);
        const int resumedAt = awaitAnswer(caller);
        BOOST_TEST(caller.has("id: 2"));
        return resumedAt;
    }
    /// One of the other routers, each in turn.
    static int otherRouter(int stream) { return 1 + stream % (routerCount - 1); }
    /// Resumes streams of router 0, which have to go on at their software versions, at \a router,
    /// or at all others in turn.
    void resumeAll(const std::vector<std::size_t> &servedBy, std::optional<int> router = {})
    {
        BOOST_REQUIRE(servedBy.size() == callers.size());
        for (std::size_t stream = 0; stream < servedBy.size(); ++stream) {
            const int number = static_cast<int>(stream);
            const int resumedAt = resume(number, router.value_or(otherRouter(number)));
            BOOST_REQUIRE(resumedAt >= 0);
            BOOST_TEST(static_cast<std::size_t>(resumedAt) % 2 == servedBy[stream] % 2);
        }
    }
    /// Begins streams at a router. Returns the engine of each.
    std::vector<std::size_t> begin(int router, int count)
    {
        std::vector<std::size_t> servedBy;
        for (int i = 0; i < count; ++i) {
            std::vector<std::size_t> before;
            for (const auto &engine : engines)
                before.push_back(engine->answered);
            callers.push_back(request(router, "s" + std::to_string(i)));
            awaitAnswer(callers.back());
            BOOST_REQUIRE(callers.back().has("id: 1"));
            for (std::size_t e = 0; e < engineCount; ++e) {
                if (engines[e]->answered > before[e])
                    servedBy.push_back(e);
            }
        }
        return servedBy;
    }

    /// Lets half of the engines change to another version, and begins streams at router 0 then.
    /// Returns the engine of each.
    std::vector<std::size_t> beginAfterARelease(int count)
    {
        for (std::size_t i = 1; i < engineCount; i += 2)
            writeEngine(i, "v2");
        pass(seconds(1));
        std::vector<std::size_t> servedBy = begin(0, count);
        pass(seconds(1));
        return servedBy;
    }
    /// Passes on to the lone router what the others have read and written since it started.
    void letLoneStoreCatchUp()
    {
        for (const std::string topic : {"keyed.servers", "keyed.lagoonbank-streams"})
            loneStore.copyTopic(store, topic);
    }

    KeyedStore store{loop};
    /// The store as the lone router reaches it, which has no peers and hears nothing from others.
    KeyedStore loneStore{loop};
    bool hasLoneRouter = false;
    std::vector<std::unique_ptr<Engine>> engines;
    std::map<int, Schema::GatewaySettings> settingsOf;
    std::map<int, std::unique_ptr<Platform::RouterProcess>> routers;
    std::vector<RawSocket> callers;
    int sequence = 0;
};

} // namespace

/// Guards against streams of a router that has ended which go on at another version.
BOOST_AUTO_TEST_CASE(streamsOfAnEndedRouterGoOnAtTheirSoftwareVersion)
{
    RouterFleet f;
    constexpr int streams = 12;
    const std::vector<std::size_t> servedBy = f.begin(0, streams);
    f.pass(milliseconds(100));
    f.routers.at(0).reset();
    f.resumeAll(servedBy);
}

/// Guards against streams that go on at a version that began to serve after them.
BOOST_AUTO_TEST_CASE(streamsFromBeforeAReleaseGoOnAtTheirSoftwareVersion)
{
    RouterFleet f(false);
    constexpr int streams = 6;
    f.begin(0, streams);
    f.writeEngine(1, "v2");
    f.writeEngine(3, "v2");
    f.pass(seconds(1));
    f.routers.at(0).reset();
    for (int i = 0; i < streams; ++i) {
        const int resumedAt = f.resume(i, RouterFleet::otherRouter(i));
        BOOST_TEST(resumedAt % 2 == 0);
    }
}

/// Guards against streams that go on anywhere as no router knows which version began them. They are
/// refused as not run, without a wait for what will not come.
BOOST_AUTO_TEST_CASE(unknownStreamIsRefusedWhileVersionsAreMixed)
{
    for (const bool isMixed : {true, false}) {
        BOOST_TEST_CONTEXT((isMixed ? "two versions" : "one version"))
        {
            RouterFleet f(isMixed);
            RawSocket caller = f.request(1, "t1", "never-seen");
            const int resumedAt = f.awaitAnswer(caller);
            BOOST_TEST(caller.has("HTTP/1.1 503") == isMixed);
            BOOST_TEST((resumedAt < 0) == isMixed);
            BOOST_TEST(!caller.has("retry-after"));
        }
    }
}

/// Guards against streams that go on at another version at a router that was down when the last
/// endpoints of their own were removed from the store.
BOOST_AUTO_TEST_CASE(restartedRouterKnowsVersionsThatHaveServed)
{
    RouterFleet f;
    constexpr int restarted = 3;
    f.routers.at(restarted).reset();
    constexpr int streams = 12;
    const std::vector<std::size_t> servedBy = f.begin(0, streams);
    for (const std::size_t engine : {0U, 2U})
        f.removeEngine(engine);
    f.pass(seconds(1));
    f.run(restarted);
    f.pass(seconds(1));
    for (int i = 0; i < streams; ++i) {
        const std::string number = std::to_string(i);
        RawSocket caller = f.request(restarted, "t" + number, "s" + number);
        const int resumedAt = f.awaitAnswer(caller);
        const bool isServed = servedBy[static_cast<std::size_t>(i)] % 2 == 1;
        BOOST_TEST((resumedAt >= 0) == isServed);
        BOOST_TEST(caller.has("HTTP/1.1 503") == !isServed);
    }
}

/// Guards against streams that are unknown after a planned restart of all routers in turn: each
/// router that was told of them restarts before the one that serves them ends.
BOOST_AUTO_TEST_CASE(streamsGoOnAfterAllRoutersHaveRestarted)
{
    RouterFleet f;
    constexpr int streams = 12;
    const std::vector<std::size_t> servedBy = f.begin(0, streams);
    f.pass(milliseconds(100));
    for (int router = 1; router < routerCount; ++router) {
        f.routers.at(router)->stopGracefully();
        f.pass(seconds(1));
        f.routers.at(router).reset();
        f.run(router);
        f.pass(seconds(1));
    }
    f.routers.at(0)->stopGracefully();
    f.pass(seconds(8));
    f.routers.at(0).reset();
    f.resumeAll(servedBy);
}

/// Guards against streams that nobody knows after all routers have ended at once, while both
/// versions serve on.
BOOST_AUTO_TEST_CASE(streamsGoOnAfterAllRoutersHaveEndedAtOnce)
{
    RouterFleet f;
    const std::vector<std::size_t> servedBy = f.begin(0, 12);
    f.pass(seconds(1));
    f.restartAll();
    f.resumeAll(servedBy);
}

/// Guards against streams that go on at another version as the endpoints of their own have lost
/// their entries while no router ran.
BOOST_AUTO_TEST_CASE(versionsThatHaveServedAreKnownAfterAllRoutersHaveEndedAtOnce)
{
    RouterFleet f;
    constexpr int streams = 12;
    const std::vector<std::size_t> servedBy = f.begin(0, streams);
    f.pass(seconds(1));
    f.restartAll([&f] {
        for (const std::size_t engine : {0U, 2U})
            f.removeEngine(engine);
    });
    for (int i = 0; i < streams; ++i) {
        const std::string number = std::to_string(i);
        RawSocket caller = f.request(0, "t" + number, "s" + number);
        const int resumedAt = f.awaitAnswer(caller);
        BOOST_TEST((resumedAt >= 0) == (servedBy[static_cast<std::size_t>(i)] % 2 == 1));
    }
}

/// Guards against streams that go on at another version at a router that has found endpoints in the
/// store, but could not read which versions have served before.
BOOST_AUTO_TEST_CASE(resumedStreamIsRefusedUntilTheVersionsThatHaveServedAreRead)
{
    RouterFleet f;
    f.begin(0, 1);
    f.pass(seconds(1));
    f.routers.clear();
    for (const std::size_t engine : {0U, 2U})
        f.removeEngine(engine);
    f.store.unreadableTopic = "keyed.lagoonbank-software";
    f.run(0);
    f.pass(seconds(2));
    RawSocket refused = f.request(0, "t0", "s0");
    BOOST_TEST(f.awaitAnswer(refused) < 0);
    BOOST_TEST(refused.has("HTTP/1.1 503"));
    BOOST_TEST(refused.has("retry-after"));
}

/// Guards against streams that go on at another version at a router whose channel to the store
/// stands still while endpoints of a new version join, so that it knows one version only.
BOOST_AUTO_TEST_CASE(routerOutOfStepResumesNoStreamAtTheOnlyVersionThatItKnows)
{
    RouterFleet f(false, true);
    f.loneStore.isSilent = true;
    constexpr int streams = 12;
    const std::vector<std::size_t> servedBy = f.beginAfterARelease(streams);
    for (int i = 0; i < streams; ++i) {
        const std::string number = std::to_string(i);
        RawSocket caller = f.request(loneRouter, "t" + number, "s" + number);
        BOOST_TEST(f.awaitAnswer(caller) < 0);
        BOOST_TEST(caller.has("HTTP/1.1 503"));
        BOOST_TEST(caller.has("retry-after"));
    }
    f.loneStore.isSilent = false;
    f.letLoneStoreCatchUp();
    f.pass(seconds(1));
    f.resumeAll(servedBy, loneRouter);
}

/// Guards against the same between two reads of a router in step, which are 0.7 s apart.
BOOST_AUTO_TEST_CASE(resumedStreamHeedsAVersionThatHasJoinedSinceTheLastRead)
{
    RouterFleet f(false, true);
    constexpr int streams = 12;
    const std::vector<std::size_t> servedBy = f.beginAfterARelease(streams);
    f.letLoneStoreCatchUp();
    f.resumeAll(servedBy, loneRouter);
}

/// Guards against versions that are missing in the store, as its writers in a large fleet are cut
/// off from it: a router that reads the store later would take a service for unmixed.
BOOST_AUTO_TEST_CASE(versionsAreStoredWhileTheirWritersAreCutOff)
{
    RouterFleet f(false, false, 60);
    const std::size_t before = f.store.keys("keyed.lagoonbank-software").size();
    f.writeEngine(1, "v2");
    f.pass(seconds(1));
    BOOST_TEST(f.store.keys("keyed.lagoonbank-software").size() == before + 1);
}
