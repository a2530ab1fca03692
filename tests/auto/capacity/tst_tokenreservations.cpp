/// Large requests that wait for KV cache memory of an endpoint while small ones overtake them.
#define BOOST_TEST_MODULE tst_tokenreservations
#include <boost/test/unit_test.hpp>

#include "auto/capacity/memorymodel.h"

#include <array>
#include <iomanip>
#include <optional>
#include <sstream>

using namespace Lagoonbank;
using namespace Lagoonbank::Capacity;
using namespace std::chrono_literals;

namespace {

constexpr Base::MonoTime start{1h};
constexpr std::uint64_t endpoint = 1;
constexpr std::uint64_t otherEndpoint = 2;
constexpr std::uint64_t large = 10;
constexpr std::uint64_t small = 11;
constexpr std::uint64_t other = 12;
constexpr Base::Tokens memory{100'000};

TokenReservations::Reservation reservation(std::uint64_t request, std::int64_t tokens,
                                           Base::MonoTime madeAt = start)
{
    return {.request = request, .tokens = Base::Tokens(tokens), .priority = 1, .madeAt = madeAt};
}

} // namespace

/// Guards against large requests that are starved by small ones which take all freed memory. A
/// router that knows all requests serves both alike.
BOOST_AUTO_TEST_CASE(largeRequestsAreServedWhileSmallOnesCompeteForTheMemory)
{
    const auto result = Test::MemoryModel({.routers = 1, .requestsPerSecond = 700}).run();
    BOOST_TEST(result.served < 0.95);
    BOOST_TEST(result.largestRatio >= 0.8);
    BOOST_TEST(result.maximumUse <= 1);
}

/// Guards against the same starvation with several routers, whose reservations do not bind each
/// other.
BOOST_AUTO_TEST_CASE(reservationsServeMoreLargeRequestsOfSeveralRouters)
{
    std::ostringstream table;
    table << std::fixed << std::setprecision(3)
          << "routers  reservations  served  largest tenth  ratio  maximum use\n";
    for (const int routers : {1, 3, 8}) {
        std::array<double, 2> ratios{};
        for (const bool usesReservations : {false, true}) {
            const auto result = Test::MemoryModel({.routers = routers,
                                                   .requestsPerSecond = 700,
                                                   .usesReservations = usesReservations})
                                    .run();
            ratios[usesReservations ? 1 : 0] = result.largestRatio;
            table << std::setw(7) << routers << std::setw(14) << (usesReservations ? "yes" : "no")
                  << std::setw(8) << result.served << std::setw(15) << result.largestServed
                  << std::setw(7) << result.largestRatio << std::setw(13) << result.maximumUse
                  << '\n';
        }
        BOOST_TEST(ratios[1] > ratios[0]);
    }
    BOOST_TEST_MESSAGE(table.str());
}

/// Guards against preemption and starvation while several routers fill the memory: the bounds of
/// the single router, which they do not reach yet (see KNOWN-RED.txt).
BOOST_AUTO_TEST_CASE(severalRoutersKeepTheBoundsOfOne)
{
    for (const int routers : {3, 8}) {
        const auto result = Test::MemoryModel({.routers = routers}).run();
        BOOST_TEST(result.exceedingSends == 0);
        BOOST_TEST(result.largestRatio >= 0.8);
    }
}

/// Guards against memory that is reserved for requests that would get it soon anyway.
BOOST_AUTO_TEST_CASE(aReservationIsDueAfterAShareOfTheTarget)
{
    const TokenReservations reservations({.targetShare = 0.02});
    BOOST_TEST(!reservations.isDue(19ms, 1000ms));
    BOOST_TEST(reservations.isDue(20ms, 1000ms));
    BOOST_TEST(reservations.isDue(8ms, 400ms));
}

/// Guards against small requests that take the memory reserved for a large one.
BOOST_AUTO_TEST_CASE(otherRequestsLeaveReservedTokensFree)
{
    TokenReservations reservations;
    BOOST_TEST(reservations.reserve(endpoint, reservation(large, 9000), memory));
    BOOST_TEST(reservations.reservedTokens(endpoint, small, 1, start) == Base::Tokens(9000));
    BOOST_TEST(reservations.reservedTokens(endpoint, large, 1, start) == Base::Tokens());
    BOOST_TEST(reservations.reservedTokens(otherEndpoint, small, 1, start) == Base::Tokens());
    reservations.release(large);
    BOOST_TEST(reservations.reservedTokens(endpoint, small, 1, start) == Base::Tokens());
}

/// Guards against requests that keep the memory of an endpoint from each other.
BOOST_AUTO_TEST_CASE(requestsWithReservationsAreServedInOrder)
{
    TokenReservations reservations;
    reservations.reserve(endpoint, reservation(large, 9000), memory);
    BOOST_TEST(reservations.reserve(endpoint, reservation(small, 500), memory));
    BOOST_TEST(reservations.reservedTokens(endpoint, large, 1, start) == Base::Tokens());
    BOOST_TEST(reservations.reservedTokens(endpoint, small, 1, start) == Base::Tokens(9000));
    BOOST_TEST(reservations.reservedTokens(endpoint, other, 1, start) == Base::Tokens(9500));
}

/// Guards against more urgent requests that wait for less urgent ones.
BOOST_AUTO_TEST_CASE(moreUrgentRequestsUseReservedTokens)
{
    TokenReservations reservations;
    reservations.reserve(endpoint, reservation(large, 9000), memory);
    BOOST_TEST(reservations.reservedTokens(endpoint, small, 0, start) == Base::Tokens());
    BOOST_TEST(reservations.reservedTokens(endpoint, small, 2, start) == Base::Tokens(9000));
}

/// Guards against endpoints that serve nothing because all of their memory is reserved.
BOOST_AUTO_TEST_CASE(aLimitedShareOfTheMemoryIsReserved)
{
    TokenReservations reservations({.maximumMemoryShare = 0.5});
    BOOST_TEST(reservations.reserve(endpoint, reservation(large, 80'000), memory));
    BOOST_TEST(!reservations.reserve(endpoint, reservation(small, 100), memory));
    BOOST_TEST(!reservations.reserve(otherEndpoint, reservation(large, 80'000), memory));
    BOOST_TEST(reservations.reserve(otherEndpoint, reservation(small, 30'000), memory));
    BOOST_TEST(reservations.reserve(otherEndpoint, reservation(other, 20'000), memory));
    BOOST_TEST(reservations.size() == 3U);
}

/// Guards against a lost message that blocks memory: a reservation ends after at most 3 s.
BOOST_AUTO_TEST_CASE(aReservationEnds)
{
    TokenReservations reservations;
    reservations.reserve(endpoint, reservation(large, 80'000), memory);
    BOOST_TEST(reservations.hasReservation(large, start + 2999ms));
    BOOST_TEST(reservations.reservedTokens(endpoint, small, 1, start + 2999ms)
               == Base::Tokens(80'000));
    BOOST_TEST(!reservations.hasReservation(large, start + 3s));
    BOOST_TEST(reservations.reservedTokens(endpoint, small, 1, start + 3s) == Base::Tokens());
    BOOST_TEST(reservations.reserve(endpoint, reservation(small, 500, start + 3s), memory));
    BOOST_TEST(reservations.size() == 1U);
}

/// Guards against reservations that outlive their router: they exist in its memory only, so that
/// another router, or the same one after a restart, sees the whole memory.
BOOST_AUTO_TEST_CASE(reservationsEndWithTheirRouter)
{
    const KvCacheBudget budget;
    const RequestSize size{.own = Base::Tokens(60'000)};
    const auto admits = [&](const TokenReservations &reservations) {
        const Base::Tokens reserved = reservations.reservedTokens(endpoint, small, 1, start);
        return budget.admits(size, memory - reserved, 1, 1000);
    };
    std::optional<TokenReservations> killed(std::in_place);
    killed->reserve(endpoint, reservation(large, 90'000), memory);
    BOOST_TEST(!admits(*killed));
    killed.emplace();
    BOOST_TEST(admits(*killed));
}
