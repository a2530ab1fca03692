#define BOOST_TEST_MODULE tst_streamversionlookup
#include <boost/test/unit_test.hpp>

#include "gateway/streamversionlookup.h"
#include "runtime/clock.h"

#include <map>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;

// Guards against streams that go on at another software version at a router whose knowledge of the
// endpoints is outdated: between two reads of the store, while it is cut off from the store, or
// after it was suspended.

namespace {

const Base::ServiceId service("s");
constexpr StreamHash stream{7};
constexpr SoftwareHash v1{1};
constexpr SoftwareHash v2{2};

/// A router that knows one version of a service.
struct Router
{
    Router()
        : lookup(
            {.timers = &timers,
             .findRecord = [this](StreamHash wanted) -> std::optional<StreamVersion> {
                 const auto found = records.find(wanted);
                 if (found == records.end())
                     return std::nullopt;
                 return StreamVersion{.software = found->second,
                                      .source = StreamVersionSource::Record,
                                      .asOf = clock.now()};
             },
             .isMixed = [this](const auto &) { return versions.size() > 1; },
             .onlyVersion =
                 [this](const auto &) {
                     return versions.empty() ? std::optional<SoftwareHash>() : versions.front();
                 },
             .askPeers = [this](StreamHash,
                                auto answered) { peerQuestions.push_back(std::move(answered)); },
             .store = {.refreshVersions =
                           [this](auto refreshed) { versionReads.push_back(std::move(refreshed)); },
                       .refreshStreams =
                           [this](auto refreshed) { streamReads.push_back(std::move(refreshed)); },
                       .areStreamsReadable = [this] { return areStreamsReadable; },
                       .areVersionsFailing = [this] { return isFailing; },
                       .areStreamsFailing = [this] { return areStreamsFailing; }}})
    { }
    void find(std::optional<StreamHash> wanted = stream)
    {
        lookup.find(service, wanted, [this](const StreamVersion &version) {
            result = version;
            ++results;
        });
    }
    void pass(Base::Duration duration)
    {
        clock.advance(duration);
        timers.runDue();
    }
    std::string from() const { return result ? std::string(toString(result->source)) : "none"; }

    Runtime::ManualClock clock;
    Runtime::TimerQueue timers{clock};
    std::map<StreamHash, SoftwareHash> records;
    std::vector<SoftwareHash> versions{v1};
    bool isFailing = false; ///< The last read of the versions.
    bool areStreamsFailing = false;
    bool areStreamsReadable = true;
    std::vector<std::function<void(std::optional<SoftwareHash>)>> peerQuestions;
    std::vector<std::function<void(bool)>> versionReads;
    std::vector<std::function<void(bool)>> streamReads;
    std::optional<StreamVersion> result;
    int results = 0;
    StreamVersionLookup lookup;
};

} // namespace

BOOST_AUTO_TEST_CASE(recordedStreamNeedsNoQuestion)
{
    Router r;
    r.records[stream] = v2;
    r.find();
    BOOST_TEST(r.from() == "record");
    BOOST_TEST(r.result->software->value() == v2.value());
    BOOST_TEST(r.versionReads.empty());
}

BOOST_AUTO_TEST_CASE(onlyVersionIsUsedOnceTheStoreHasConfirmedIt)
{
    Router r;
    r.find();
    BOOST_TEST(r.from() == "none");
    r.pass(milliseconds(5));
    r.versionReads.at(0)(true);
    BOOST_TEST(r.from() == "only_version");
    BOOST_TEST(r.result->software->value() == v1.value());
    BOOST_TEST((r.result->asOf == r.clock.now() - milliseconds(5)));
    BOOST_TEST(r.peerQuestions.empty());
}

/// Guards against a second version that has joined since the last regular read.
BOOST_AUTO_TEST_CASE(otherVersionInTheStoreLeadsToAQuestionToPeers)
{
    Router r;
    r.find();
    r.versions.push_back(v2);
    r.versionReads.at(0)(true);
    BOOST_TEST(r.from() == "none");
    r.peerQuestions.at(0)(v2);
    BOOST_TEST(r.from() == "peer");
    BOOST_TEST(r.result->software->value() == v2.value());
}

/// Guards against the only known version being used while the store does not answer.
BOOST_AUTO_TEST_CASE(streamIsUnknownWhileTheStoreIsSilent)
{
    Router r;
    r.find();
    r.pass(milliseconds(50));
    BOOST_REQUIRE(r.peerQuestions.size() == 1U);
    r.peerQuestions[0](std::nullopt);
    BOOST_TEST(r.from() == "none");
    r.pass(milliseconds(950));
    BOOST_TEST(r.from() == "nobody");
    BOOST_TEST(r.result->mayBeKnownLater);
    r.versionReads.at(0)(true); // Too late.
    BOOST_TEST(r.results == 1);
}

/// Guards against each request waiting for a store that is known to be away.
BOOST_AUTO_TEST_CASE(failingStoreIsNotWaitedForLong)
{
    Router r;
    r.isFailing = true;
    r.find();
    r.pass(milliseconds(1));
    BOOST_REQUIRE(r.peerQuestions.size() == 1U);
    r.peerQuestions[0](std::nullopt);
    r.pass(milliseconds(99));
    BOOST_TEST(r.from() == "nobody");
    BOOST_TEST(r.result->mayBeKnownLater);
    r.find();
    r.versionReads.at(1)(true);
    BOOST_TEST(r.from() == "only_version");
}

/// Guards against a read of the streams that failed long ago and still shortens the wait for the
/// versions: the streams are not read again while versions are not mixed.
BOOST_AUTO_TEST_CASE(failedReadOfTheStreamsDoesNotShortenTheWaitForTheVersions)
{
    Router r;
    r.areStreamsFailing = true;
    r.find();
    r.pass(milliseconds(1));
    BOOST_TEST(r.peerQuestions.empty());
    r.pass(milliseconds(300));
    BOOST_TEST(r.from() == "none");
    r.versionReads.at(0)(true);
    BOOST_TEST(r.from() == "only_version");
}

BOOST_AUTO_TEST_CASE(failingReadOfTheStreamsIsNotWaitedForLong)
{
    Router r;
    r.versions.push_back(v2);
    r.areStreamsFailing = true;
    r.find();
    r.peerQuestions.at(0)(std::nullopt);
    r.pass(milliseconds(100));
    BOOST_TEST(r.from() == "nobody");
    BOOST_TEST(r.result->mayBeKnownLater);
}

/// Guards against callers in a large fleet who are told to come back, although no router will ever
/// know their stream.
BOOST_AUTO_TEST_CASE(unknownStreamIsNotExpectedLaterIfTheStoredStreamsAreNotRead)
{
    Router r;
    r.versions.push_back(v2);
    r.areStreamsReadable = false;
    r.find();
    r.peerQuestions.at(0)(std::nullopt);
    BOOST_TEST(r.from() == "nobody");
    BOOST_TEST(r.streamReads.empty());
    BOOST_TEST(!r.result->mayBeKnownLater);
}

BOOST_AUTO_TEST_CASE(peersAreAskedWhileTheStoreDoesNotAnswer)
{
    Router r;
    r.find();
    r.pass(milliseconds(50));
    r.peerQuestions.at(0)(v2);
    BOOST_TEST(r.from() == "peer");
}

/// Guards against streams that no peer knows, while the store does: those of a router that has
/// ended, at one that reaches no peers.
BOOST_AUTO_TEST_CASE(storeIsAskedForStreamsThatNoPeerKnows)
{
    for (const bool isStored : {true, false}) {
        BOOST_TEST_CONTEXT("stored " << isStored)
        {
            Router r;
            r.versions.push_back(v2);
            r.find();
            r.peerQuestions.at(0)(std::nullopt);
            BOOST_TEST(r.from() == "none");
            if (isStored)
                r.records[stream] = v2;
            r.streamReads.at(0)(true);
            BOOST_TEST(r.from() == (isStored ? "store" : "nobody"));
            BOOST_TEST(!r.result->mayBeKnownLater);
        }
    }
}

/// Guards against the only version being used unconfirmed because the service counted as mixed when
/// the request came: its other version expires, or the history of versions becomes known from a
/// peer, while peers are asked for the stream.
BOOST_AUTO_TEST_CASE(onlyVersionIsConfirmedIfVersionsCeaseToBeMixedMeanwhile)
{
    Router r;
    r.versions.push_back(v2);
    r.find();
    r.versions.pop_back();
    r.peerQuestions.at(0)(std::nullopt);
    BOOST_TEST(r.from() == "none");
    BOOST_REQUIRE(r.versionReads.size() == 1U);
    r.versionReads[0](true);
    BOOST_TEST(r.from() == "only_version");
    BOOST_TEST(r.peerQuestions.size() == 1U);
}

/// Guards against a service without endpoints of which one appears while the request waits.
BOOST_AUTO_TEST_CASE(streamOfAServiceWithoutEndpointsIsRefusedForNow)
{
    Router r;
    r.versions.clear();
    r.find();
    r.versionReads.at(0)(true);
    BOOST_TEST(r.from() == "nobody");
    BOOST_TEST(r.result->mayBeKnownLater);
}

BOOST_AUTO_TEST_CASE(streamWithoutIdGoesOnAtTheOnlyVersionOrNotAtAll)
{
    Router r;
    r.find(std::nullopt);
    r.versionReads.at(0)(true);
    BOOST_TEST(r.from() == "only_version");
    r.versions.push_back(v2);
    r.find(std::nullopt);
    BOOST_TEST(r.from() == "nobody");
    BOOST_TEST(r.peerQuestions.empty());
    BOOST_TEST(r.streamReads.empty());
}
