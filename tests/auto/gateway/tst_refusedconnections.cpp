#define BOOST_TEST_MODULE tst_refusedconnections
#include "auto/gateway/gatewayfixture.h"

#include <cstddef>

using namespace Lagoonbank;
using Fleet::RouteKind;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;

/// Entries of another writer, at whose addresses nobody listens, outnumber the endpoints. Guards
/// against requests that are refused because the first few of these refuse a connection.
BOOST_AUTO_TEST_CASE(requestFindsTheOnlyEndpointAmongManyAddressesThatRefuseConnections)
{
    constexpr std::size_t count = 13;
    for (const RouteKind kind : {RouteKind::Idempotent, RouteKind::NonIdempotent}) {
        for (std::size_t live = 0; live < count; ++live) {
            BOOST_TEST_CONTEXT("live endpoint: " << live)
            {
                GatewayFixture f(count);
                f.setRoute({.kind = kind,
                            .maxEndpoints = 2,
                            .timeout = milliseconds(800),
                            .targetLatency = milliseconds(150)});
                for (std::size_t i = 0; i < count; ++i) {
                    if (i != live)
                        f.endpoints[i].reset();
                }
                RawSocket caller = f.call();
                BOOST_TEST(f.runUntil([&] { return f.endpoints[live]->requests() == 1U; }));
            }
        }
    }
}
