#include "router/contractrules.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace Lagoonbank::Router {

std::string keyHash(std::string_view bearerKey)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(bearerKey.data(), bearerKey.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    boost::algorithm::hex_lower(digest.begin(), digest.begin() + size, std::back_inserter(hex));
    return hex;
}

Admission::WorkspaceLimits toWorkspaceLimits(const Schema::Contract &contract)
{
    const Schema::Source &source = contract.source;
    Admission::WorkspaceLimits limits;
    limits.requestsPerSecond = {contract.requestsPerSecond,
                                source.locationOf("requests_per_second")};
    limits.requestBurst = {contract.requestBurst, source.locationOf("request_burst")};
    limits.tokensPerSecond = {contract.tokensPerSecond, source.locationOf("tokens_per_second")};
    limits.tokenBurst = {contract.tokenBurst, source.locationOf("token_burst")};
    limits.concurrency = {static_cast<int>(contract.concurrency), source.locationOf("concurrency")};
    for (const auto &[name, level] : contract.priorities)
        limits.priorities.push_back(
            {name, static_cast<int>(level), source.locationOf("priorities")});
    limits.defaultPriority = contract.defaultPriority;
    limits.defaultDeadline = {contract.defaultDeadline, source.locationOf("default_deadline_ms")};
    limits.maxDeadline = {contract.maxDeadline, source.locationOf("max_deadline_ms")};
    std::vector<std::string> services;
    for (const Base::ServiceId &service : contract.services)
        services.push_back(service.value());
    limits.services = {std::move(services), source.locationOf("services")};
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
