#pragma once

#include "base/ids.h"
#include "gateway/gatewaymetrics.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace Lagoonbank::Gateway {

/// Counts headers and store entries of endpoints that cannot be decoded, and determines which of
/// them are logged: one for each endpoint and name, as a faulty endpoint repeats the value in each
/// of its answers.
class UndecodableValues
{
public:
    /// Maximum number of pairs of an endpoint and a name that are remembered. When it is reached,
    /// all are forgotten, and at most one more line for each pair is logged.
    static constexpr std::size_t maxPairs = 4096;

    explicit UndecodableValues(GatewayMetrics &metrics)
        : m_metrics(metrics)
    { }

    /// Counts a value of the header or topic \a name. Returns true if it is to be logged.
    bool count(const Base::EndpointId &endpoint, std::string_view name);

private:
    GatewayMetrics &m_metrics;
    absl::flat_hash_set<std::pair<Base::EndpointId, std::string>> m_logged;
};

} // namespace Lagoonbank::Gateway
