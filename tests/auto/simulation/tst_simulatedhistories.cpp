/// Histories that were red, as tst_simulation found and shortened them.
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

/// A peer that the store answers first tells of its return, so that this router did not see how
/// long it had been away.
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

/// Beacons that had waited in the sockets of a router that stood still were taken for new, and
/// their age told on.
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

/// A router that stood still through an outage has seen no read of its own fail.
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

/// Ages that were passed back and forth shrank by the time on the way, a fifth of the time in all.
BOOST_AUTO_TEST_CASE(propagatedAgeDoesNotShrink)
{
    checkRules({.seed = 2908,
                .dataCentres = {2, 1, 1},
                .endpoints = 3,
                .steps = {
                    {.kind = StepKind::StoreRefuses, .atMs = 8629, .durationMs = 2486},
                }});
}

/// The time in which entries come back ran on while the store was away again.
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

/// Neither outage was long enough for entries to lapse, but endpoints could not write in between.
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

/// The same where the reader has no read between the two, and a deputy takes its place whose own
/// reads have not failed since the first.
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

/// A deputy waited for an entry to come back, left the store to its reader, and was not told that
/// the entry was back, as the reader had never missed it.
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

/// The reader that took over had never known the endpoint, so it could not tell that it had gone.
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

/// A router that starts knows nothing that can have lapsed, and its peers wait for what it reads.
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

/// A peer told a reader of an endpoint that the reader's own listing had shown to have gone.
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

/// A reader had 0.5 s more than it should before its deputies took its place.
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

/// A deputy that the store turned away said that it read until 1.6 s had passed without an answer.
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

/// A router hears that its reader has news and cannot ask for them.
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

/// The start whose clock was set back was never believed.
BOOST_AUTO_TEST_CASE(restartWithClockSetBackIsAccepted)
{
    checkRules({.seed = 25,
                .dataCentres = {1},
                .endpoints = 1,
                .steps = {
                    {.kind = StepKind::StartAgain, .atMs = 9965, .other = 1, .value = 2},
                }});
}

/// Its hearers did not believe what their reader did.
BOOST_AUTO_TEST_CASE(restartWithClockSetBackIsAcceptedByAllRouters)
{
    checkRules({.seed = 258,
                .dataCentres = {2},
                .endpoints = 2,
                .steps = {
                    {.kind = StepKind::StartAgain, .atMs = 12652, .target = 1, .value = 2},
                }});
}

/// A key that a listing lacked counted as dropped by the record behind it, which was the key's
/// next.
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

/// A router that had not reached the store itself yet left it to one that had just started.
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

/// A router that the store answers again read all that had come and gone meanwhile, and told its
/// peers that endpoints had gone which had long been back.
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

/// A reader that is told only the newest of an endpoint's records does not hear that it leaves
/// before it is gone, and waits for it to come back.
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

/// A reader on a link of 0.5 Mbit/s sends a configuration for 1.4 s, and the next one after it,
/// while those that wait for it could read the store.
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

/// Two pulls of 0.4 s fail before a router reads for itself; behind a restart that is too late.
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

/// A reader's lost beacons are no outage of the store, so that what leaves behind them is not
/// awaited.
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

/// The reader of the whole fleet had stood still and waited for an entry to come back, while
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

/// The same after two faults, with a store that does not answer the reader alone.
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

/// Each router on the way from the reader doubted the start for itself.
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

/// A leader on a slow link pulled from the reader, and its data centre then pulled from it.
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

/// A leader that went on after a standstill gave up entries that had long come back, and told so.
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

/// Two leaders read the store for as long as neither met the other: each asked any router of the
/// other's data centre.
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
