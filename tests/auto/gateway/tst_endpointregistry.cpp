#define BOOST_TEST_MODULE tst_endpointregistry
#include <boost/test/unit_test.hpp>

#include "gateway/endpointregistry.h"

#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;

namespace {

const Base::ServiceId service{"service"};
const Base::MonoTime start{std::chrono::hours(1)};

Fleet::Endpoint endpoint(const std::string &id)
{
    return {.id = Base::EndpointId(id), .service = service, .address = {"127.0.0.1", 80}};
}

} // namespace

BOOST_AUTO_TEST_CASE(endpointsOfAServiceAreOrderedById)
{
    EndpointRegistry registry({});
    for (const char *id : {"c", "a", "b"})
        registry.put(endpoint(id), start);
    std::string order;
    for (const EndpointPtr &one : registry.endpoints(service))
        order += one->info.id.value();
    BOOST_TEST(order == "abc");
    registry.remove(Base::EndpointId("a"), start);
    BOOST_TEST(registry.endpoints(service).size() == 2U);
    BOOST_TEST(registry.endpoints(Base::ServiceId("other")).empty());
}

/// Guards against an endpoint that stays with its former service: its software version would never
/// count as gone there, so that streams of that service count as mixed for good.
BOOST_AUTO_TEST_CASE(endpointMovesToTheServiceOfItsNewEntry)
{
    const Base::ServiceId newService("new");
    EndpointRegistry registry({});
    Fleet::Endpoint one = endpoint("a");
    one.softwareVersion = "v1";
    registry.put(one, start);
    one.service = newService;
    registry.put(one, start);
    const Base::MonoTime later = start + std::chrono::minutes(2);
    BOOST_TEST(registry.endpoints(service).empty());
    BOOST_TEST(registry.endpoints(newService).size() == 1U);
    BOOST_TEST(!registry.softwareVersions().only(service, later).has_value());
    BOOST_TEST(registry.softwareVersions().only(newService, later).has_value());
}

BOOST_AUTO_TEST_CASE(newIdAtAnAddressIsAnotherEndpoint)
{
    EndpointRegistry registry({});
    registry.put(endpoint("old"), start);
    const EndpointPtr old = registry.find(Base::EndpointId("old"));
    registry.suspicion().suspect(old->index, start);
    registry.remove(Base::EndpointId("old"), start);
    BOOST_TEST(old->isGone);
    registry.put(endpoint("new"), start);
    const EndpointPtr fresh = registry.find(Base::EndpointId("new"));
    BOOST_TEST((registry.suspicion().state(fresh->index) == Routing::Suspicion::State::Healthy));
    BOOST_TEST((registry.findByStart(fresh->startHash) == fresh));
    BOOST_TEST(!registry.findByStart(old->startHash));
}

BOOST_AUTO_TEST_CASE(restartUnderTheSameIdIsANewEndpoint)
{
    using std::chrono::milliseconds;
    const auto startAt = [](int ms) { return std::optional(Base::WallTime(milliseconds(ms))); };
    Fleet::Endpoint before = endpoint("a");
    before.startedAt = startAt(5000);
    Fleet::Endpoint sameStart = before;
    sameStart.slots = 8;
    Fleet::Endpoint laterStart = before;
    laterStart.startedAt = startAt(5001);
    Fleet::Endpoint elsewhere = before;
    elsewhere.address.port = 81;
    const struct
    {
        const char *what;
        Fleet::Endpoint next;
        bool isNew;
    } cases[] = {{"the same start", sameStart, false},
                 {"a later start", laterStart, true},
                 {"another address", elsewhere, true}};
    for (const auto &[what, next, isNew] : cases) {
        EndpointRegistry registry({});
        registry.put(before, start);
        const EndpointPtr old = registry.find(before.id);
        registry.suspicion().suspect(old->index, start);
        registry.requestSent(*old, start);
        registry.loadReported(*old, {.running = 4, .waiting = 2, .slots = 8}, start);
        registry.put(next, start + milliseconds(1));
        const EndpointPtr now = registry.find(before.id);
        BOOST_TEST(old->isGone == isNew, what);
        BOOST_TEST((now != old) == isNew, what);
        BOOST_TEST(registry.endpoints(service).size() == 1U, what);
        const bool isHealthy =
            registry.suspicion().state(now->index) == Routing::Suspicion::State::Healthy;
        BOOST_TEST(isHealthy == isNew, what);
        BOOST_TEST((registry.load(*now, start) == 0) == isNew, what);
        BOOST_TEST(now->hash == old->hash, what); // The home of its prompts does not change.
    }
}

BOOST_AUTO_TEST_CASE(startHashChangesWithARestart)
{
    EndpointRegistry registry({});
    Fleet::Endpoint one = endpoint("a");
    one.startedAt = Base::WallTime(std::chrono::seconds(5));
    registry.put(one, start);
    const std::uint64_t before = registry.find(one.id)->startHash;
    one.startedAt = Base::WallTime(std::chrono::seconds(6));
    registry.put(one, start);
    BOOST_TEST(!registry.findByStart(before));
}

/// Entries expire while the store is down and reappear afterwards.
BOOST_AUTO_TEST_CASE(noticeOfAnEndpointOutlivesItsEntry)
{
    EndpointRegistry registry({});
    Fleet::Endpoint one = endpoint("a");
    one.startedAt = Base::WallTime(std::chrono::seconds(7));
    registry.put(one, start);
    registry.find(one.id)->notice = {.isLeaving = true,
                                     .backOffUntil = start + std::chrono::hours(1)};
    registry.remove(one.id, start);
    registry.put(one, start);
    BOOST_TEST(registry.find(one.id)->notice.isLeaving);
    BOOST_TEST(!registry.find(one.id)->takesRequests(start));
    registry.remove(one.id, start);
    Fleet::Endpoint elsewhere = one;
    elsewhere.address.port = static_cast<std::uint16_t>(one.address.port + 1);
    registry.put(elsewhere, start);
    BOOST_TEST(!registry.find(one.id)->notice.isLeaving);
    Fleet::Endpoint again = one;
    again.startedAt = Base::WallTime(std::chrono::seconds(8));
    registry.put(again, start);
    BOOST_TEST(registry.find(one.id)->takesRequests(start));
}

BOOST_AUTO_TEST_CASE(loadIsTheReportPlusRequestsSentSince)
{
    EndpointRegistry registry({});
    registry.put(endpoint("a"), start);
    EndpointRecord &one = *registry.find(Base::EndpointId("a"));
    registry.requestSent(one, start);
    BOOST_TEST(registry.load(one, start) == 1);
    registry.loadReported(one, {.running = 4, .waiting = 2, .slots = 8}, start);
    BOOST_TEST(registry.load(one, start) == 6);
    registry.requestSent(one, start);
    registry.requestSent(one, start);
    BOOST_TEST(registry.load(one, start) == 8);
    registry.requestEnded(one);
    registry.requestEnded(one);
    registry.requestEnded(one);
    BOOST_TEST(registry.load(one, start) == 5);
}

BOOST_AUTO_TEST_CASE(expiredReportIsIgnored)
{
    EndpointRegistry registry({});
    registry.put(endpoint("a"), start);
    EndpointRecord &one = *registry.find(Base::EndpointId("a"));
    registry.loadReported(one, {.running = 9}, start);
    registry.requestSent(one, start);
    BOOST_TEST(registry.load(one, start + std::chrono::seconds(2)) == 10);
    BOOST_TEST(registry.load(one, start + std::chrono::seconds(4)) == 1);
}

BOOST_AUTO_TEST_CASE(movingAverageDecays)
{
    MovingAverage mean;
    const Base::Duration halfLife = std::chrono::seconds(4);
    BOOST_TEST(mean.value(3, start, halfLife) == 3);
    mean.add(11, start);
    BOOST_TEST(mean.value(3, start, halfLife) == 11);
    BOOST_TEST(mean.value(3, start + halfLife, halfLife) == 7);
    MovingAverage failures(0);
    failures.add(1, start);
    BOOST_TEST(failures.value(0, start, halfLife) < 0.4);
}

/// Guards against an endpoint that has started again being taken for the start that wrote its
/// entry: entries that were on their way as it ended show nothing.
BOOST_AUTO_TEST_CASE(softwareIsCertainOnceAnEntryWasWrittenSince)
{
    EndpointRegistry registry({});
    Fleet::Endpoint one = endpoint("a");
    one.softwareVersion = "v1";
    registry.put(one, start);
    const EndpointPtr record = registry.find(one.id);
    EndpointRegistry::doubtSoftware(*record, start);
    EndpointRegistry::recordUncertainStream(*record, StreamHash(7));
    std::vector<StreamHash> confirmed;
    registry.softwareConfirmed = [&](const EndpointRecord &,
                                     const std::vector<StreamHash> &streams) {
        confirmed = streams;
    };
    const auto renewAt = [&](int ms) {
        registry.entryRenewed(one.id, start + std::chrono::milliseconds(ms));
        return record->certainSoftware() != SoftwareHash();
    };
    BOOST_TEST(!renewAt(100));
    BOOST_TEST(!renewAt(101)); // Read at once with the one before.
    BOOST_TEST(renewAt(1300));
    BOOST_TEST((confirmed == std::vector<StreamHash>{StreamHash(7)}));
}

/// Guards against streams of a new start that count as of the version before, or of none.
BOOST_AUTO_TEST_CASE(entryOfANewStartTellsTheVersionOfItsStreams)
{
    for (const bool hasStartTime : {false, true}) {
        BOOST_TEST_CONTEXT("has a start time: " << hasStartTime)
        {
            EndpointRegistry registry({});
            Fleet::Endpoint one = endpoint("a");
            one.softwareVersion = "v1";
            registry.put(one, start);
            EndpointRegistry::doubtSoftware(*registry.find(one.id), start);
            EndpointRegistry::recordUncertainStream(*registry.find(one.id), StreamHash(7));
            SoftwareHash confirmed;
            registry.softwareConfirmed = [&](const EndpointRecord &record,
                                             const std::vector<StreamHash> &streams) {
                BOOST_TEST((streams == std::vector<StreamHash>{StreamHash(7)}));
                confirmed = record.software;
            };
            one.softwareVersion = "v2";
            if (hasStartTime)
                one.startedAt = Base::WallTime(std::chrono::seconds(5));
            registry.put(one, start + std::chrono::seconds(1));
            BOOST_TEST((confirmed == softwareHash(one)));
            BOOST_TEST((registry.find(one.id)->certainSoftware() == softwareHash(one)));
        }
    }
}
