#pragma once

#include "admission/limits.h"
#include "base/ids.h"
#include "schema/generated/configuration.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Router {

/// What a router looks up in the configuration that is in force. Built anew for each revision.
class FleetView
{
public:
    FleetView() = default;
    explicit FleetView(const std::vector<Schema::ConfigurationObject> &objects);

    /// The contract that a bearer key names; null if none does.
    const Schema::Contract *contractOfKey(std::string_view bearerKey) const;
    const Schema::Contract *contract(const Base::WorkspaceId &workspace) const;
    const Schema::Model *model(const Base::ModelId &model) const;
    const Schema::Service *service(const Base::ServiceId &service) const;
    const Schema::Endpoint *endpoint(const Base::EndpointId &endpoint) const;
    /// The policy named "default", or one with all defaults.
    const Schema::Policy &policy() const { return m_policy; }

    const std::map<Base::WorkspaceId, Schema::Contract> &contracts() const { return m_contracts; }
    const std::map<Base::EndpointId, Schema::Endpoint> &endpoints() const { return m_endpoints; }
    const std::map<Base::ModelId, Schema::Model> &models() const { return m_models; }

private:
    void add(const Schema::Contract &contract);
    void add(const Schema::Service &service);
    void add(const Schema::Model &model);
    void add(const Schema::Endpoint &endpoint);
    void add(const Schema::DataCentre &dataCentre);
    void add(const Schema::Policy &policy);

    std::map<Base::WorkspaceId, Schema::Contract> m_contracts;
    std::map<Base::ServiceId, Schema::Service> m_services;
    std::map<Base::ModelId, Schema::Model> m_models;
    std::map<Base::EndpointId, Schema::Endpoint> m_endpoints;
    Schema::Policy m_policy;
    absl::flat_hash_map<std::string, Base::WorkspaceId> m_workspaceByKeyHash;
};

/// SHA-256 of a bearer key in lower-case hexadecimal digits, as contracts keep it.
std::string keyHash(std::string_view bearerKey);

/// The limits of a contract, each with the line that it comes from.
Admission::WorkspaceLimits limitsOf(const Schema::Contract &contract);

/// Whether the contract says that this call of a service must run at most once.
bool isNonIdempotent(const Schema::Contract &contract, const Base::ServiceId &service,
                     std::string_view method, std::string_view path);

} // namespace Lagoonbank::Router
