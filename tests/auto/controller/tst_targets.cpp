#define BOOST_TEST_MODULE Targets
#include <boost/test/unit_test.hpp>

#include "controller/targets.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Controller;

namespace {

Schema::Endpoint endpoint(const std::string &name, Schema::EndpointState state)
{
    Schema::Endpoint endpoint;
    endpoint.name = Base::EndpointId(name);
    endpoint.type = Schema::EndpointType::Engine;
    endpoint.address = "10.0.0.1:80";
    endpoint.dataCentre = Base::DataCentreId("here");
    endpoint.model = Base::ModelId("m");
    endpoint.capacity = Base::WorkUnits(10);
    endpoint.role = "any";
    endpoint.state = state;
    return endpoint;
}

} // namespace

BOOST_AUTO_TEST_CASE(targetsIncludeOnlyEndpointsOfTheDataCentre)
{
    Configuration::ObjectTable objects;
    Schema::Model model;
    model.name = Base::ModelId("m");
    model.servingVersion = "v1";
    objects.set(model);
    objects.set(endpoint("active", Schema::EndpointState::Active));
    objects.set(endpoint("draining", Schema::EndpointState::Draining));
    objects.set(endpoint("removed", Schema::EndpointState::Removed));
    Schema::Endpoint elsewhere = endpoint("elsewhere", Schema::EndpointState::Active);
    elsewhere.dataCentre = Base::DataCentreId("there");
    objects.set(elsewhere);
    Schema::Endpoint service = endpoint("service", Schema::EndpointState::Active);
    service.type = Schema::EndpointType::Service;
    objects.set(service);

    const Base::DataCentreId here("here");
    const auto revisionOf = [](const Configuration::ObjectKey &key) {
        return Base::Revision(key.kind == Schema::ObjectKind::Model ? 10 : 3);
    };
    const std::vector<OrderTarget> targets = orderTargets(objects, here, revisionOf);
    BOOST_REQUIRE(targets.size() == 2U);
    const OrderTarget &active = targets[0];
    BOOST_TEST(active.endpoint.value() == "active");
    BOOST_TEST((active.desired
                == Orders::EndpointSettings{
                    .model = "m", .version = "v1", .role = "any", .draining = false}));
    BOOST_TEST(active.revision.value() == 13U);
    BOOST_TEST(targets[1].endpoint.value() == "draining");
    // A draining engine is not ordered to load anything.
    BOOST_TEST((targets[1].desired == Orders::EndpointSettings{.role = "any", .draining = true}));

    std::vector<std::string> probed;
    for (const Prober::Target &target : probeTargets(objects, here))
        probed.push_back(target.endpoint.value());
    BOOST_TEST((probed == std::vector<std::string>{"active", "draining", "service"}));
}
