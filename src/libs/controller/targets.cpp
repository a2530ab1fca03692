#include "controller/targets.h"

#include "runtime/udpsocket.h"

namespace Lagoonbank::Controller {

namespace {

Orders::EndpointSettings desiredOf(const Schema::Endpoint &endpoint, const Schema::Model *model)
{
    Orders::EndpointSettings desired{.role = endpoint.role,
                                     .draining = endpoint.state == Schema::EndpointState::Draining};
    // A draining engine is not ordered to load anything.
    if (*desired.draining || !model)
        return desired;
    desired.model = model->name.value();
    desired.version = model->servingVersion;
    desired.adapter = model->servingAdapter;
    return desired;
}

bool isPresentIn(const Schema::Endpoint &endpoint, const Base::DataCentreId &dataCentre)
{
    return endpoint.dataCentre == dataCentre && endpoint.state != Schema::EndpointState::Removed;
}

} // namespace

std::vector<Prober::Target> probeTargets(const Configuration::ObjectTable &objects,
                                         const Base::DataCentreId &dataCentre)
{
    std::vector<Prober::Target> targets;
    objects.each<Schema::Endpoint>([&](const Schema::Endpoint &endpoint) {
        const auto address = Runtime::parseSocketAddress(endpoint.address);
        if (isPresentIn(endpoint, dataCentre) && address)
            targets.push_back({endpoint.name, address.value()});
    });
    return targets;
}

std::vector<OrderTarget>
orderTargets(const Configuration::ObjectTable &objects, const Base::DataCentreId &dataCentre,
             const std::function<Base::Revision(const Configuration::ObjectKey &)> &revisionOf)
{
    std::vector<OrderTarget> targets;
    objects.each<Schema::Endpoint>([&](const Schema::Endpoint &endpoint) {
        const auto address = Runtime::parseSocketAddress(endpoint.address);
        const bool isEngine = endpoint.type == Schema::EndpointType::Engine;
        if (!isEngine || !isPresentIn(endpoint, dataCentre) || !address)
            return;
        const Base::ModelId name = endpoint.model.value_or(Base::ModelId());
        targets.push_back(
            {.endpoint = endpoint.name,
             .address = address.value(),
             .checksFencing = endpoint.checksFencing,
             .capacity = endpoint.capacity.value(),
             .model = name,
             .desired = desiredOf(endpoint, objects.model(name)),
             // Both revisions only increase, so their sum increases with a change of either.
             .revision = revisionOf({Schema::ObjectKind::Endpoint, endpoint.name.value()})
                 + revisionOf({Schema::ObjectKind::Model, name.value()})});
    });
    return targets;
}

} // namespace Lagoonbank::Controller
