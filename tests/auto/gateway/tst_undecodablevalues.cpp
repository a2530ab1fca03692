/// Endpoints of a new version send headers that this router cannot decode. Without a trace of that,
/// the load of all endpoints stays unknown unnoticed.
#define BOOST_TEST_MODULE tst_undecodablevalues
#include <boost/test/unit_test.hpp>

#include "gateway/undecodablevalues.h"

#include <string>

using namespace Lagoonbank;
using Gateway::UndecodableValues;

/// Guards against values that are dropped silently, and against one log line per answer.
BOOST_AUTO_TEST_CASE(countsAllAndLogsOncePerEndpointAndName)
{
    Gateway::GatewayMetrics metrics;
    UndecodableValues values(metrics);
    const Base::EndpointId a("a");
    const Base::EndpointId b("b");
    BOOST_TEST(values.count(a, "load"));
    BOOST_TEST(values.count(a, "retry-after"));
    BOOST_TEST(values.count(b, "load"));
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(!values.count(a, "load"));
        BOOST_TEST(!values.count(b, "load"));
    }
    BOOST_TEST(metrics.undecodable("load").value() == 12);
    BOOST_TEST(metrics.undecodable("retry-after").value() == 1);
}

/// Guards against memory that grows with each restart of an endpoint under a new id.
BOOST_AUTO_TEST_CASE(memoryIsLimited)
{
    Gateway::GatewayMetrics metrics;
    UndecodableValues values(metrics);
    BOOST_TEST(values.count(Base::EndpointId("first"), "load"));
    for (std::size_t i = 0; i < UndecodableValues::maxPairs; ++i)
        BOOST_TEST(values.count(Base::EndpointId("e" + std::to_string(i)), "load"));
    BOOST_TEST(values.count(Base::EndpointId("first"), "load"));
    BOOST_TEST(!values.count(Base::EndpointId("first"), "load"));
}
