#define BOOST_TEST_MODULE eventlog
#include <boost/test/unit_test.hpp>

#include "timeline/eventjson.h"
#include "timeline/eventlog.h"
#include "timeline/mergedtimeline.h"
#include "timeline/requestid.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Base;
using namespace Lagoonbank::Timeline;

namespace {

const WallTime noon{std::chrono::hours(24) * 20000 + std::chrono::hours(12)};

EventLog makeLog(const std::string &process, std::size_t capacity = 100)
{
    return EventLog({.process = process, .capacity = capacity});
}

} // namespace

BOOST_AUTO_TEST_CASE(formatsAndParsesHybridTimes)
{
    const HybridTime times[] = {{0, 0}, {1'796'233'711'123, 0}, {1'796'233'711'123, 7}};
    for (const HybridTime time : times)
        BOOST_TEST((parseHybridTime(toString(time)) == time));
    BOOST_TEST(toString(times[2]) == "2026-12-02T17:48:31.123Z+7");
    for (const char *bad : {"", "2026-12-02", "2026-13-02T17:48:31.123Z", "2026-12-02T17:48:31.123",
                            "2026-12-02T17:48:31.123Z+", "2026-12-02T17:48:31.123Z+x"})
        BOOST_TEST(!parseHybridTime(bad).has_value());
}

BOOST_AUTO_TEST_CASE(clockIsMonotonic)
{
    HybridClock clock;
    const HybridTime first = clock.tick(noon);
    const HybridTime second = clock.tick(noon - 10s);
    BOOST_TEST((first < second));
    BOOST_TEST((second < clock.tick(noon + 1ms)));
}

BOOST_AUTO_TEST_CASE(clockMergesRemoteTimesWithinMaxDrift)
{
    HybridClock clock(10s);
    const std::int64_t noonMs = clock.tick(noon).wallMs;
    BOOST_TEST(clock.received({noonMs + 10'000, 3}, noon));
    BOOST_TEST((clock.tick(noon) == HybridTime{noonMs + 10'000, 4}));
    BOOST_TEST(!clock.received({noonMs + 10'001, 0}, noon));
    BOOST_TEST((clock.tick(noon) == HybridTime{noonMs + 10'000, 5}));
    BOOST_TEST(clock.refused() == 1U);
}

BOOST_AUTO_TEST_CASE(ringKeepsTheLatestEvents)
{
    EventLog log = makeLog("vm1/router", 3);
    for (int i = 0; i < 5; ++i)
        log.record(EventType::RequestStarted, {.subject = std::to_string(i)}, noon);
    const auto events = log.events({});
    BOOST_REQUIRE(events.size() == 3U);
    BOOST_TEST(events.front().event.fields.subject == "2");
    BOOST_TEST(events.back().event.fields.subject == "4");
    BOOST_TEST(log.dropped() == 2U);
    BOOST_TEST(log.events({}, 1).front().event.fields.subject == "4");
    BOOST_TEST(log.events({.afterSequence = 4}).size() == 1U);
    BOOST_TEST(log.events({.afterSequence = 5}).empty());
}

BOOST_AUTO_TEST_CASE(filtersSelectMatchingEvents)
{
    EventLog log = makeLog("vm1/router");
    log.record(EventType::RequestStarted,
               {.request = RequestId("a"), .workspace = WorkspaceId("qila")}, noon);
    log.record(EventType::AttemptStarted, {.request = RequestId("a"), .endpoint = EndpointId("e1")},
               noon + 1s);
    log.record(EventType::EndpointSuspected, {.endpoint = EndpointId("e2")}, noon + 2s);
    struct Row
    {
        EventFilter filter;
        std::size_t count;
    };
    const std::int64_t noonMs = log.events({}).front().event.time.wallMs;
    const Row rows[] = {
        {{}, 3},
        {{.request = RequestId("a")}, 2},
        {{.workspace = WorkspaceId("qila")}, 1},
        {{.endpoint = EndpointId("e2")}, 1},
        {{.sinceMs = noonMs + 1000}, 2},
        {{.request = RequestId("a"), .endpoint = EndpointId("e2")}, 0},
    };
    for (const Row &row : rows)
        BOOST_TEST(log.events(row.filter).size() == row.count);
}

// The controller's clock is 5 s behind the first router's. The other router's is 3 s ahead of it.
BOOST_AUTO_TEST_CASE(drainIsMergedInCausalOrder)
{
    EventLog router = makeLog("vm1/router");
    EventLog other = makeLog("vm2/router");
    EventLog controller = makeLog("vm1/controller");
    const auto send = [](EventLog &from, EventLog &to, WallTime fromWall, WallTime toWall) {
        BOOST_TEST(to.clock().received(from.clock().tick(fromWall), toWall));
    };
    const EndpointId engine("e1");
    router.record(EventType::ConfigurationApplied, {.subject = "endpoint e1"}, noon);
    send(router, controller, noon, noon - 5s);
    controller.record(EventType::OrderSent, {.endpoint = engine}, noon - 5s);
    send(controller, other, noon - 5s, noon + 3s);
    other.record(EventType::EndpointDraining, {.endpoint = engine}, noon + 3s);
    send(other, controller, noon + 3s, noon - 4s);
    controller.record(EventType::OrderDone, {.endpoint = engine}, noon - 4s);

    const auto merged =
        mergeEvents({controller.events({}), other.events({}), router.events({}), other.events({})});
    std::vector<EventType> types;
    types.reserve(merged.size());
    for (const ProcessEvent &event : merged)
        types.push_back(event.event.type);
    const std::vector<EventType> expected{EventType::ConfigurationApplied, EventType::OrderSent,
                                          EventType::EndpointDraining, EventType::OrderDone};
    BOOST_TEST((types == expected));
}

BOOST_AUTO_TEST_CASE(eventsRoundTripThroughJson)
{
    const ProcessEvent event{"vm1/router",
                             {.time = {1'796'233'711'123, 2},
                              .sequence = 9,
                              .type = EventType::ClaimLost,
                              .fields = {.request = RequestId("dc~vm~1~2"),
                                         .workspace = WorkspaceId("qila"),
                                         .endpoint = EndpointId("e1"),
                                         .subject = "s",
                                         .detail = "d"}}};
    BOOST_TEST((eventFromJson(toJson(event)).value() == event));
    nlohmann::ordered_json bad = toJson(event);
    bad["type"] = "no-such-type";
    BOOST_TEST(!eventFromJson(bad).has_value());
    bad["type"] = 5;
    BOOST_TEST(!eventFromJson(bad).has_value());
    BOOST_TEST(!eventsFromJson({{"events", 3}}).has_value());
}

BOOST_AUTO_TEST_CASE(rendersTextJsonAndHtml)
{
    EventLog log = makeLog("vm1/router");
    log.record(EventType::RequestStarted, {.request = RequestId("a"), .detail = "</script><b>&\"x"},
               noon);
    const auto events = log.events({});
    const std::string text = renderText(events);
    BOOST_TEST(text.find("vm1/router request-started") != std::string::npos);
    BOOST_TEST(text.find("request a") != std::string::npos);
    const auto line = nlohmann::ordered_json::parse(renderJsonLines(events));
    BOOST_TEST((eventFromJson(line).value() == events.front()));
    const std::string page = renderHtml(events, "a < b");
    BOOST_TEST(page.find("a &lt; b") != std::string::npos);
    BOOST_TEST(page.find("</script><b>") == std::string::npos);
    BOOST_TEST(page.find("http://") == page.find("http://www.w3.org/2000/svg"));
    BOOST_TEST(page.find("src=") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(requestIdsIdentifyTheirRouter)
{
    const RequestOrigin origin{DataCentreId("johar-town.lhr"), VmId("vm-3"),
                               Incarnation(1'796'233'711'123), 71};
    const RequestId id = makeRequestId(origin);
    BOOST_TEST(id.value() == "johar-town.lhr~vm-3~mx6f69sj~1z");
    BOOST_TEST((parseRequestId(id.value()).value() == origin));
    for (const char *bad : {"", "a~b~c", "a~b~c~d~e", "~b~1~1", "a~~1~1", "a~b~~1", "a~b~1~%",
                            "a~b~1~zzzzzzzzzzzzzzz"})
        BOOST_TEST(!parseRequestId(bad).has_value());
}
