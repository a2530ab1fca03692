#include "router/fleetview.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <variant>

namespace Lagoonbank::Router {

namespace {

template<typename Map, typename Key>
const typename Map::mapped_type *findIn(const Map &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

FleetView::FleetView(const std::vector<Schema::ConfigurationObject> &objects)
{
    for (const Schema::ConfigurationObject &object : objects)
        std::visit([this](const auto &value) { add(value); }, object);
}

void FleetView::add(const Schema::Contract &contract)
{
    for (const std::string &hash : contract.keys)
        m_workspaceByKeyHash.emplace(hash, contract.name);
    m_contracts.insert_or_assign(contract.name, contract);
}

void FleetView::add(const Schema::Service &service)
{
    m_services.insert_or_assign(service.name, service);
}

void FleetView::add(const Schema::Model &model)
{
    m_models.insert_or_assign(model.name, model);
}

void FleetView::add(const Schema::Endpoint &endpoint)
{
    m_endpoints.insert_or_assign(endpoint.name, endpoint);
}

void FleetView::add(const Schema::DataCentre & /*dataCentre*/) { }

void FleetView::add(const Schema::Policy &policy)
{
    if (policy.name == "default")
        m_policy = policy;
}

const Schema::Contract *FleetView::contractOfKey(std::string_view bearerKey) const
{
    const auto found = m_workspaceByKeyHash.find(keyHash(bearerKey));
    return found == m_workspaceByKeyHash.end() ? nullptr : contract(found->second);
}

const Schema::Contract *FleetView::contract(const Base::WorkspaceId &workspace) const
{
    return findIn(m_contracts, workspace);
}

const Schema::Model *FleetView::model(const Base::ModelId &model) const
{
    return findIn(m_models, model);
}

const Schema::Service *FleetView::service(const Base::ServiceId &service) const
{
    return findIn(m_services, service);
}

const Schema::Endpoint *FleetView::endpoint(const Base::EndpointId &endpoint) const
{
    return findIn(m_endpoints, endpoint);
}

std::string keyHash(std::string_view bearerKey)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(bearerKey.data(), bearerKey.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    boost::algorithm::hex_lower(digest.begin(), digest.begin() + size, std::back_inserter(hex));
    return hex;
}

Admission::WorkspaceLimits limitsOf(const Schema::Contract &contract)
{
    const Schema::Source &source = contract.source;
    Admission::WorkspaceLimits limits;
    limits.requestsPerSecond = {contract.requestsPerSecond, source.at("requests_per_second")};
    limits.requestBurst = {contract.requestBurst, source.at("request_burst")};
    limits.tokensPerSecond = {contract.tokensPerSecond, source.at("tokens_per_second")};
    limits.tokenBurst = {contract.tokenBurst, source.at("token_burst")};
    limits.concurrency = {static_cast<int>(contract.concurrency), source.at("concurrency")};
    for (const auto &[name, level] : contract.priorities)
        limits.priorities.push_back({name, static_cast<int>(level), source.at("priorities")});
    limits.defaultPriority = contract.defaultPriority;
    limits.defaultDeadline = {contract.defaultDeadline, source.at("default_deadline_ms")};
    limits.maxDeadline = {contract.maxDeadline, source.at("max_deadline_ms")};
    std::vector<std::string> services;
    for (const Base::ServiceId &service : contract.services)
        services.push_back(service.value());
    limits.services = {std::move(services), source.at("services")};
    return limits;
}

bool isNonIdempotent(const Schema::Contract &contract, const Base::ServiceId &service,
                     std::string_view method, std::string_view path)
{
    return std::any_of(contract.nonIdempotent.begin(), contract.nonIdempotent.end(),
                       [&](const Schema::NonIdempotentCalls &calls) {
                           return calls.service == service && path.starts_with(calls.pathPrefix)
                               && std::find(calls.methods.begin(), calls.methods.end(), method)
                               != calls.methods.end();
                       });
}

} // namespace Lagoonbank::Router
