#define BOOST_TEST_MODULE tst_sharedendpoint
#include <boost/test/unit_test.hpp>

#include "fleetsync/sharedendpoint.h"
#include "schema/messagecodec.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

using namespace Lagoonbank;

namespace {

Fleet::Endpoint endpoint()
{
    return {.id = Base::EndpointId(std::string(96, 'i')),
            .service = Base::ServiceId(std::string(96, 's')),
            .address = {"10.1.0.1", 80},
            .dataCentre = Base::DataCentreId(std::string(64, 'd')),
            .softwareVersion = std::string(64, 'v'),
            .slots = 4};
}

bool canBeSent(const Fleet::Endpoint &endpoint)
{
    const Schema::FleetBeacon beacon{.changes = {FleetSync::toShared({.endpoint = endpoint})}};
    return Schema::encodeMessage(beacon).has_value();
}

} // namespace

/// An endpoint that passes the check but cannot be sent makes all messages with it fail.
BOOST_AUTO_TEST_CASE(checkAgreesWithTheMessage)
{
    struct Row
    {
        std::string_view name;
        std::function<void(Fleet::Endpoint &)> change;
    };
    const Row rows[]{
        {"id", [](auto &one) { one.id = Base::EndpointId(std::string(97, 'i')); }},
        {"service", [](auto &one) { one.service = Base::ServiceId(std::string(97, 's')); }},
        {"zone", [](auto &one) { one.dataCentre = Base::DataCentreId(std::string(65, 'd')); }},
        {"version", [](auto &one) { one.softwareVersion = std::string(65, 'v'); }}};
    BOOST_TEST(canBeSent(endpoint()));
    BOOST_TEST(FleetSync::checkShareable(endpoint()).has_value());
    for (const Row &row : rows) {
        Fleet::Endpoint changed = endpoint();
        row.change(changed);
        BOOST_TEST(!canBeSent(changed), row.name);
        BOOST_TEST(!FleetSync::checkShareable(changed), row.name);
    }
}

/// Numbers out of range became negative slots, and start times that overflow.
BOOST_AUTO_TEST_CASE(oddMessageIsAnError)
{
    struct Row
    {
        std::string_view name;
        std::function<void(Schema::SharedEndpoint &)> change;
    };
    const Row rows[]{
        {"slots", [](auto &one) { one.slots = 2147483648U; }},
        {"start", [](auto &one) { one.startedAtMs = UINT64_MAX; }},
        {"start beyond nanoseconds", [](auto &one) { one.startedAtMs = 9223372036855; }},
        {"no address", [](auto &one) { one.ip.clear(); }},
        {"no IPv4 address", [](auto &one) { one.ip = "host"; }},
        {"empty id", [](auto &one) { one.id.clear(); }},
        {"line end in the id", [](auto &one) { one.id = "a\r\nb"; }}};
    const Schema::SharedEndpoint good = FleetSync::toShared({.endpoint = endpoint()});
    BOOST_TEST(FleetSync::fromShared(good).has_value());
    for (const Row &row : rows) {
        Schema::SharedEndpoint changed = good;
        row.change(changed);
        BOOST_TEST(!FleetSync::fromShared(changed), row.name);
    }
    Schema::SharedEndpoint gone = good;
    gone.startedAtMs = UINT64_MAX;
    BOOST_TEST(!FleetSync::fromSharedRemoval(gone));
}
