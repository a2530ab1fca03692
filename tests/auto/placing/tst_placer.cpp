#define BOOST_TEST_MODULE tst_placer
#include <boost/test/unit_test.hpp>

#include "router/placer.h"
#include "runtime/clock.h"
#include "runtime/loop.h"

#include <optional>
#include <string>
#include <vector>

using namespace Lagoonbank;
using Exchange::Placement;
using Exchange::Refusal;
using Exchange::Target;

namespace {

constexpr double capacity = 1000;

struct Fixture
{
    Fixture()
    {
        for (const char *name : {"a", "b"})
            add(name, Routing::modelPool(Base::ModelId("m")));
        add("s", Routing::servicePool(Base::ServiceId("s")));
    }

    void add(const std::string &name, const std::string &pool)
    {
        placer.routing().upsert({.id = Base::EndpointId(name),
                                 .address = "127.0.0.1:1",
                                 .dataCentre = Base::DataCentreId("dc"),
                                 .pool = pool,
                                 .capacity = Base::WorkUnits(capacity)},
                                clock.now());
    }
    Exchange::RouteQuery modelQuery(std::int64_t promptTokens)
    {
        return {.workspace = Base::WorkspaceId("w"),
                .model = Base::ModelId("m"),
                .chatHash = ++chat,
                .promptTokens = Base::Tokens(promptTokens),
                .maxTokens = Base::Tokens(1),
                .priority = 5,
                .deadline = clock.now() + std::chrono::seconds(60)};
    }
    /// Fills every engine until a request has to wait; returns the targets of the placed requests.
    std::vector<Target> fill()
    {
        std::vector<Target> sent;
        bool isWaiting = false;
        while (!isWaiting && sent.size() < 100) {
            isWaiting = true;
            abandon = placer.place(modelQuery(500), [&](Placement placement) {
                if (auto *target = std::get_if<Target>(&placement)) {
                    sent.push_back(*target);
                    isWaiting = false;
                } else {
                    lastRefusal = std::get<Refusal>(placement);
                }
            });
        }
        return sent;
    }
    void run(Base::Duration duration)
    {
        constexpr Base::Duration step = std::chrono::milliseconds(20);
        for (Base::Duration left = duration; left > Base::Duration::zero(); left -= step) {
            clock.advance(step);
            loop.runOnce({});
        }
    }

    Runtime::ManualClock clock;
    Runtime::Loop loop{{.clock = &clock}};
    Router::Placer placer{{.loop = &loop,
                           .routing = {.dataCentre = Base::DataCentreId("dc")},
                           .queue = {.limit = 2, .maximumWait = std::chrono::seconds(1)}}};
    std::uint64_t chat = 0;
    Exchange::CancelPlacement abandon;
    std::optional<Refusal> lastRefusal;
};

} // namespace

BOOST_AUTO_TEST_CASE(loadHeaders)
{
    struct Row
    {
        const char *text;
        bool isValid;
        double work;
        std::int64_t ageMs;
    };
    for (const Row &row :
         {Row{"work=12;age=200;running=1;queued=0;capacity=50", true, 12, 200},
          Row{"work=0", true, 0, 0}, Row{"age=5;work=3", true, 3, 5},
          Row{"work=1;age=999999999", true, 1, 60000}, Row{"", false, 0, 0},
          Row{"age=5", false, 0, 0}, Row{"work=-1", false, 0, 0}, Row{"work=x", false, 0, 0},
          Row{"work=nan", false, 0, 0}, Row{"work=1e99", false, 0, 0}, Row{"work", false, 0, 0}}) {
        const auto header = Router::readLoadHeader(row.text);
        BOOST_TEST_INFO(row.text);
        BOOST_REQUIRE(header.has_value() == row.isValid);
        if (!row.isValid)
            continue;
        BOOST_TEST(header->work.value() == row.work);
        BOOST_TEST(Base::toMilliseconds(header->sampleAge) == row.ageMs);
    }
}

BOOST_FIXTURE_TEST_CASE(waitingRequestIsSentWhenAnAttemptEnds, Fixture)
{
    const std::vector<Target> sent = fill();
    BOOST_REQUIRE(!sent.empty());
    BOOST_TEST(placer.waiting() == 1U);
    for (const Target &target : sent)
        placer.attemptEnded(
            {.endpoint = target.endpoint, .ticket = target.ticket, .succeeded = true});
    run(std::chrono::milliseconds(200));
    BOOST_TEST(placer.waiting() == 0U);
    BOOST_TEST(!lastRefusal.has_value());
}

BOOST_FIXTURE_TEST_CASE(expiredWaitIsRefusedAsNotRunWithRetryAfter, Fixture)
{
    fill();
    run(std::chrono::milliseconds(1500));
    BOOST_REQUIRE(lastRefusal.has_value());
    BOOST_CHECK(lastRefusal->error.ran == Errors::Ran::No);
    BOOST_TEST(lastRefusal->retryAfter.has_value());
    BOOST_TEST(placer.waiting() == 0U);
}

BOOST_FIXTURE_TEST_CASE(fullModelPoolDoesNotBlockServices, Fixture)
{
    fill();
    std::optional<Placement> placed;
    placer.place({.workspace = Base::WorkspaceId("w"),
                  .service = Base::ServiceId("s"),
                  .promptTokens = Base::Tokens(1),
                  .deadline = clock.now() + std::chrono::seconds(60)},
                 [&](Placement placement) { placed = std::move(placement); });
    BOOST_REQUIRE(placed.has_value());
    BOOST_TEST(std::holds_alternative<Target>(*placed));
}

BOOST_FIXTURE_TEST_CASE(abandonedRequestIsRemovedFromTheQueue, Fixture)
{
    fill();
    BOOST_REQUIRE(abandon);
    abandon();
    BOOST_TEST(placer.waiting() == 0U);
    run(std::chrono::milliseconds(1500));
    BOOST_TEST(!lastRefusal.has_value());
}

BOOST_FIXTURE_TEST_CASE(endedAttemptsReleaseTheirInFlightWork, Fixture)
{
    for (const Target &target : fill()) {
        placer.attemptProgressed(target, Base::Tokens(1), true);
        placer.attemptEnded(
            {.endpoint = target.endpoint, .ticket = target.ticket, .succeeded = true});
    }
    abandon();
    for (Routing::EndpointIndex i = 0; i < placer.routing().endpoints().size(); ++i)
        BOOST_TEST(placer.routing().loads().ownInFlight(i).value() == 0);
}
