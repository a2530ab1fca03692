/// Regression histories: failing histories that tst_simulation found, in minimised form.
#define BOOST_TEST_MODULE tst_simulatedhistories
#include <boost/test/unit_test.hpp>

#include "auto/simulation/play.h"

#include <string>

using namespace Simulation;

namespace {

void checkRules(const History &history)
{
    const auto violation = play(history).violation;
    BOOST_TEST(!violation,
               (violation ? violation->rule + ": " + violation->detail : std::string()));
}

} // namespace

/// A peer that the store answers first reports the store's return. This router therefore did not
/// detect how long the outage had lasted.
BOOST_AUTO_TEST_CASE(firstReaderAfterOutageKeepsExpiredEntries)
{
    checkRules({.seed = 33,
                .dataCentres = {3},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::StoreRefuses, .atMs = 6413, .durationMs = 554},
                    {.kind = StepKind::StoreRefuses, .atMs = 10873, .durationMs = 4862},
                }});
}

/// Beacons that had been queued in the sockets of a frozen router were considered current when it
/// resumed, and the router propagated the resulting age of its state.
BOOST_AUTO_TEST_CASE(beaconsQueuedDuringFreezeAreOutdated)
{
    checkRules({.seed = 722,
                .dataCentres = {3, 3, 3},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::Freeze, .atMs = 894, .durationMs = 5865, .target = 5},
                    {.kind = StepKind::StoreRefuses, .atMs = 4335, .durationMs = 4582},
                }});
}

/// A router that was frozen during an outage has had no failed read of its own.
BOOST_AUTO_TEST_CASE(readerFrozenDuringOutageKeepsExpiredEntries)
{
    checkRules({.seed = 7065,
                .dataCentres = {2},
                .endpoints = 2,
                .steps = {
                    {.kind = StepKind::Freeze, .atMs = 5929, .durationMs = 6949},
                    {.kind = StepKind::StoreRefuses, .atMs = 6349, .durationMs = 4410},
                    {.kind = StepKind::StoreRefuses, .atMs = 10709, .durationMs = 400},
                }});
}

/// Each time that routers exchanged the age of their state, the age shrank by the transmission
/// time, in all by a fifth of the elapsed time.
BOOST_AUTO_TEST_CASE(propagatedAgeDoesNotShrink)
{
    checkRules({.seed = 2908,
                .dataCentres = {2, 1, 1},
                .endpoints = 3,
                .steps = {
                    {.kind = StepKind::StoreRefuses, .atMs = 8629, .durationMs = 2486},
                }});
}

/// The time in which expired entries may come back continued to run while the store was unavailable
/// again.
BOOST_AUTO_TEST_CASE(entriesAreKeptThroughTwoOutages)
{
    checkRules({.seed = 35,
                .dataCentres = {2},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::StoreRefuses, .atMs = 6523, .durationMs = 5081},
                    {.kind = StepKind::StoreSilent, .atMs = 12074, .durationMs = 1800},
                }});
}

/// Neither outage was long enough for entries to expire, but endpoints could not write their
/// entries between the two.
BOOST_AUTO_TEST_CASE(consecutiveOutagesCountAsOne)
{
    checkRules({.seed = 68,
                .dataCentres = {2, 2},
                .endpoints = 4,
                .steps = {
                    {.kind = StepKind::StoreRefuses, .atMs = 196, .durationMs = 100},
                    {.kind = StepKind::StoreRefuses, .atMs = 1734, .durationMs = 100},
                    {.kind = StepKind::StoreLosesAnswers, .atMs = 5044, .durationMs = 1500},
                    {.kind = StepKind::StoreRefuses, .atMs = 6891, .durationMs = 4489},
                    {.kind = StepKind::StoreRefuses, .atMs = 12574, .durationMs = 1882},
                }});
}

/// As above, but the reader makes no read between the two outages, and a standby takes over whose
/// own reads have not failed since the first one.
BOOST_AUTO_TEST_CASE(consecutiveOutagesWithTakeoverCountAsOne)
{
    checkRules({.seed = 13367,
                .dataCentres = {3, 2},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::StoreSilent, .atMs = 7039, .durationMs = 645},
                    {.kind = StepKind::StoreSilent, .atMs = 11445, .durationMs = 1553},
                    {.kind = StepKind::StoreRefuses, .atMs = 13176, .durationMs = 900},
                }});
}

/// A standby waited for an entry to come back and left reading the store to the reader. It was not
/// notified of the entry, as the entry had never been missing for the reader.
BOOST_AUTO_TEST_CASE(routerWaitingForAnEntryReadsUntilItIsResolved)
{
    checkRules({.seed = 50,
                .dataCentres = {3},
                .endpoints = 4,
                .steps = {
                    {.kind = StepKind::StoreForgets, .atMs = 693},
                    {.kind = StepKind::Configure, .atMs = 3346, .value = 10300},
                    {.kind = StepKind::StoreSlow, .atMs = 10437, .durationMs = 1900},
                    {.kind = StepKind::StoreSilent, .atMs = 12411, .durationMs = 6922},
                }});
}

/// The reader that took over had never known the endpoint, so it could not report its removal.
BOOST_AUTO_TEST_CASE(newReaderIsNotTheOnlySourceOfRemovals)
{
    checkRules({.seed = 32,
                .dataCentres = {3, 2},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::Leave, .atMs = 3922},
                    {.kind = StepKind::Replace, .atMs = 4129, .durationMs = 100, .target = 3},
                }});
}

/// A router that starts knows no entries that may have expired, and its peers wait for the result
/// of its reads.
BOOST_AUTO_TEST_CASE(startingReaderWaitsForNoEntries)
{
    checkRules({.seed = 1810,
                .dataCentres = {2},
                .endpoints = 4,
                .steps = {
                    {.kind = StepKind::Replace, .atMs = 11108, .durationMs = 100, .target = 1},
                    {.kind = StepKind::Leave, .atMs = 11364, .target = 3},
                }});
}

/// A peer reported an endpoint to a reader, although the reader's own listing of the store had
/// shown that the endpoint was removed.
BOOST_AUTO_TEST_CASE(endpointMissingFromListingIsNotRestoredByPeer)
{
    checkRules({.seed = 4638,
                .dataCentres = {3, 1, 1},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::Kill, .atMs = 5498, .durationMs = 5991, .target = 1},
                    {.kind = StepKind::StoreLosesAnswers, .atMs = 9495, .durationMs = 3419},
                    {.kind = StepKind::Leave, .atMs = 11352},
                }});
}

/// Standbys took over 0.5 s too late from a reader whose calls to the store failed.
BOOST_AUTO_TEST_CASE(readerWithoutStoreAnswersIsReplacedInTime)
{
    checkRules({.seed = 726,
                .dataCentres = {2},
                .endpoints = 3,
                .steps = {
                    {.kind = StepKind::Drain, .atMs = 4171, .target = 2},
                    {.kind = StepKind::StoreSilentForOne, .atMs = 7164, .durationMs = 1642},
                }});
}

/// A standby whose calls to the store failed announced itself as reader until 1.6 s had passed
/// without an answer.
BOOST_AUTO_TEST_CASE(readerCountsOnlyAfterASuccessfulRead)
{
    checkRules(
        {.seed = 3642,
         .dataCentres = {3},
         .endpoints = 2,
         .steps = {
             {.kind = StepKind::StoreSilentForOne, .atMs = 524, .durationMs = 5141, .target = 1},
             {.kind = StepKind::StoreSilentForOne, .atMs = 3016, .durationMs = 2800},
             {.kind = StepKind::Leave, .atMs = 4843, .target = 1},
         }});
}

/// A router receives beacons that announce changes at its reader but cannot pull the changes.
BOOST_AUTO_TEST_CASE(oneWayCutDoesNotDelayPropagation)
{
    checkRules({.seed = 3527,
                .dataCentres = {1, 3},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::CutOneWay,
                     .atMs = 4797,
                     .durationMs = 6414,
                     .target = 2,
                     .other = 1},
                    {.kind = StepKind::Configure, .atMs = 6360, .value = 39963},
                }});
}

/// An endpoint that restarted with its clock set back was never accepted.
BOOST_AUTO_TEST_CASE(restartWithClockSetBackIsAccepted)
{
    checkRules({.seed = 25,
                .dataCentres = {1},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::StartAgain, .atMs = 9965, .other = 1, .value = 2},
                }});
}

/// Routers that follow a reader did not accept a restart that the reader had accepted.
BOOST_AUTO_TEST_CASE(restartWithClockSetBackIsAcceptedByAllRouters)
{
    checkRules({.seed = 258,
                .dataCentres = {2},
                .endpoints = 2,
                .steps = {
                    {.kind = StepKind::StartAgain, .atMs = 12652, .target = 1, .value = 2},
                }});
}

/// A key that was missing from a listing counted as dropped at the offset of the record after the
/// listing, which was the next record of the same key.
BOOST_AUTO_TEST_CASE(entryWrittenRightAfterListingIsKnown)
{
    checkRules(
        {.seed = 46172,
         .dataCentres = {3, 2},
         .endpoints = 1,
         .steps = {
             {.kind = StepKind::Lossy, .atMs = 3450, .durationMs = 3100, .target = 3, .value = 50},
             {.kind = StepKind::Lossy, .atMs = 3503, .durationMs = 3200, .target = 3, .value = 18},
             {.kind = StepKind::Drain, .atMs = 3742},
             {.kind = StepKind::Leave, .atMs = 5327},
             {.kind = StepKind::StartAgain, .atMs = 6621, .other = 1},
         }});
}

/// A router that had not reached the store itself yet left reading it to a router that had just
/// started.
BOOST_AUTO_TEST_CASE(routerThatDiffersFromNewReaderReadsOnce)
{
    checkRules({.seed = 55714,
                .dataCentres = {1, 1, 2},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::Crash, .atMs = 4821},
                    {.kind = StepKind::CutDataCentre,
                     .atMs = 5165,
                     .durationMs = 6903,
                     .target = 3,
                     .other = 1,
                     .value = 1},
                    {.kind = StepKind::Replace, .atMs = 9231, .durationMs = 2973, .target = 2},
                }});
}

/// A router that could use the store again read all additions and removals since its last read. It
/// reported endpoints as removed to its peers although they had been back for a long time.
BOOST_AUTO_TEST_CASE(outdatedRemovalsReadAfterGapAreNotPropagated)
{
    checkRules(
        {.seed = 21043,
         .dataCentres = {3, 3, 1},
         .endpoints = 4,
         .steps = {
             {.kind = StepKind::Replace, .atMs = 440, .durationMs = 2500, .target = 1},
             {.kind = StepKind::StoreSilent, .atMs = 8117, .durationMs = 4200},
             {.kind = StepKind::StoreRefusesOne, .atMs = 10522, .durationMs = 7007, .target = 3},
         }});
}

/// A reader that reads only the newest of an endpoint's records does not receive the draining state
/// before the removal, and waits for the endpoint to come back.
BOOST_AUTO_TEST_CASE(drainingStateIsPropagatedAfterRemoval)
{
    checkRules({.seed = 201705,
                .dataCentres = {3, 1},
                .endpoints = 4,
                .steps = {
                    {.kind = StepKind::StoreRefuses,
                     .atMs = 6630,
                     .durationMs = 5196,
                     .target = 1,
                     .other = 3},
                    {.kind = StepKind::Drain, .atMs = 11482, .target = 2, .other = 1},
                }});
}

/// A reader on a link of 0.5 Mbit/s takes 1.4 s to send a configuration, and then sends the next
/// one, while the routers that wait for it could read the store.
BOOST_AUTO_TEST_CASE(slowReaderDoesNotDelayConfigurations)
{
    checkRules({.seed = 55181,
                .dataCentres = {3, 2},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::SlowLink, .atMs = 1763, .durationMs = 6413},
                    {.kind = StepKind::Configure, .atMs = 3425, .value = 90557},
                    {.kind = StepKind::Configure, .atMs = 3878, .value = 57788},
                }});
}

/// Two pulls with a timeout of 0.4 s fail before a router reads the store itself; after a restart
/// this takes too long.
BOOST_AUTO_TEST_CASE(restartBehindOneWayCutDoesNotDelayPropagation)
{
    checkRules({.seed = 1,
                .dataCentres = {2, 1},
                .endpoints = 2,
                .steps = {
                    {.kind = StepKind::Leave, .atMs = 4000, .target = 1},
                    {.kind = StepKind::CutOneWay, .atMs = 4050, .durationMs = 4500, .target = 1},
                    {.kind = StepKind::Kill, .atMs = 4100, .durationMs = 300},
                }});
}

/// Lost beacons of a reader are not an outage of the store. Routers must not wait for an endpoint
/// to come back that leaves after the loss.
BOOST_AUTO_TEST_CASE(lostBeaconsOfReaderAreNoOutage)
{
    checkRules(
        {.seed = 40058,
         .dataCentres = {2},
         .endpoints = 1,
         .steps = {
             {.kind = StepKind::Lossy, .atMs = 2115, .durationMs = 1300, .other = 1, .value = 69},
             {.kind = StepKind::Leave, .atMs = 4197},
             {.kind = StepKind::Replace, .atMs = 4471, .durationMs = 300},
         }});
}

/// The reader of the whole fleet had been frozen and waited for an entry to come back, while
/// leaders that had missed nothing left the reading to it.
BOOST_AUTO_TEST_CASE(upToDateLeaderTakesPrecedenceOverWaitingReader)
{
    checkRules(
        {.seed = 791,
         .dataCentres = {3, 3},
         .endpoints = 3,
         .steps = {
             {.kind = StepKind::Replace, .atMs = 959, .durationMs = 300, .target = 1},
             {.kind = StepKind::Crash, .atMs = 2748, .target = 1, .other = 1},
             {.kind = StepKind::Freeze, .atMs = 3072, .durationMs = 2647, .target = 1, .other = 5},
         }});
}

/// As above, but after two faults, where the store leaves only the calls of the reader unanswered.
BOOST_AUTO_TEST_CASE(waitingReaderWithoutStoreAnswersIsNotFollowed)
{
    checkRules({.seed = 1,
                .dataCentres = {2, 1},
                .endpoints = 2,
                .steps = {
                    {.kind = StepKind::Freeze, .atMs = 4000, .durationMs = 4500},
                    {.kind = StepKind::Crash, .atMs = 5700},
                    {.kind = StepKind::StoreSilentForOne, .atMs = 7400, .durationMs = 1300},
                }});
}

/// Each router on the path from the reader treated the restart as suspect independently of the
/// others.
BOOST_AUTO_TEST_CASE(restartWithClockSetBackIsAcceptedAcrossDataCentres)
{
    checkRules(
        {.seed = 320,
         .dataCentres = {2, 1},
         .endpoints = 2,
         .steps = {
             {.kind = StepKind::StartAgain, .atMs = 9109, .target = 1, .other = 1, .value = 2},
         }});
}

/// A leader on a slow link pulled from the reader, and the other routers of its data centre then
/// pulled from the leader.
BOOST_AUTO_TEST_CASE(slowLeaderDoesNotDelayConfigurations)
{
    checkRules(
        {.seed = 20164,
         .dataCentres = {2, 2},
         .endpoints = 1,
         .steps = {
             {.kind = StepKind::SlowLink,
              .atMs = 4577,
              .durationMs = 2267,
              .target = 2,
              .other = 3},
             {.kind = StepKind::Configure, .atMs = 5243, .target = 3, .other = 3, .value = 90557},
         }});
}

/// A leader that resumed after a freeze removed entries that had come back long before, and
/// reported the removals to its peers.
BOOST_AUTO_TEST_CASE(removalsByLeaderAfterFreezeAreNotPropagated)
{
    checkRules(
        {.seed = 20979,
         .dataCentres = {2, 2, 2},
         .endpoints = 5,
         .steps = {
             {.kind = StepKind::Freeze, .atMs = 1230, .durationMs = 3295, .target = 2, .other = 1},
             {.kind = StepKind::StoreRefuses,
              .atMs = 6918,
              .durationMs = 3403,
              .target = 3,
              .other = 4},
             {.kind = StepKind::Freeze, .atMs = 10832, .durationMs = 6229, .target = 2, .other = 5},
             {.kind = StepKind::CutDataCentre, .atMs = 11194, .durationMs = 3400, .target = 4},
         }});
}

/// Two leaders both read the store for as long as neither found the other: each contacted arbitrary
/// routers of the other's data centre.
BOOST_AUTO_TEST_CASE(leadersOfTwoDataCentresFindEachOther)
{
    checkRules(
        {.seed = 10274,
         .dataCentres = {3, 1, 1},
         .endpoints = 1,
         .steps = {
             {.kind = StepKind::StoreLosesAnswers, .atMs = 2516, .durationMs = 2600, .other = 1},
         }});
}
