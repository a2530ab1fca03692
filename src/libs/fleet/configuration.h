#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "fleet/route.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Lagoonbank::Fleet {

/// Capacity of one model engine of a service.
struct EngineCapacity
{
    int slots = 0; ///< Maximum number of concurrent requests.
    Base::Tokens memory; ///< Shared by running requests and cached prompts.
    int tokensPerEvent = 1; ///< Output tokens in one event of a stream.
};

/// Reduced capacity of an endpoint after a cold start or after it has become cold again.
struct Warmup
{
    Base::Duration time{}; ///< Duration of the warm-up; zero if the service needs none.
    /// Maximum request rate of one endpoint during the warm-up, summed over all callers.
    double requestsPerSecond = 0;
};

struct Service
{
    Base::ServiceId name;
    std::string healthPath;
    /// Maximum number of connections to one endpoint, summed over all callers; zero if not known.
    int maxConnections = 0;
    Warmup warmup;
    std::optional<EngineCapacity> engine; ///< Not set for a service without model engines.
};

/// Size and time limits for requests of callers.
struct CallerLimits
{
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    Base::Duration headTimeout = std::chrono::seconds(3);
    Base::Duration idleTimeout = std::chrono::seconds(15);
};

struct Workspace
{
    Base::WorkspaceId name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Overrides the priority of the route.
};

/// The content of a configuration.
struct ConfigurationParts
{
    Base::Revision revision;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::vector<Workspace> workspaces; ///< If empty, no request needs a key.
};

/// An immutable configuration of the fleet, indexed for lookups.
class Configuration
{
public:
    explicit Configuration(ConfigurationParts parts);
    Configuration(const Configuration &) = delete;
    Configuration &operator=(const Configuration &) = delete;

    Base::Revision revision() const { return m_parts.revision; }
    const std::vector<Route> &routes() const { return m_parts.routes; }
    const std::vector<Service> &services() const { return m_parts.services; }
    const CallerLimits &limits() const { return m_parts.limits; }
    bool hasWorkspaces() const { return !m_parts.workspaces.empty(); }
    std::size_t workspaceCount() const { return m_parts.workspaces.size(); }

    /// Returns the route of \a host whose prefix is the longest match for \a path, or null if there
    /// is none. \a host may include a port, which is ignored.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Returns null if no workspace has the key.
    const Workspace *findWorkspace(std::string_view key) const;
    const Service *findService(const Base::ServiceId &name) const;

private:
    using HostAndPrefix = std::pair<std::string, std::string>;

    ConfigurationParts m_parts;
    absl::flat_hash_map<HostAndPrefix, std::size_t> m_routes;
    absl::flat_hash_map<std::string, std::size_t> m_keys;
    absl::flat_hash_map<Base::ServiceId, std::size_t> m_services;
};

/// Returns the service of \a route for a request with this hash. Requests are distributed in
/// proportion to the weights of the services.
const Base::ServiceId &serviceFor(const Route &route, std::uint64_t requestHash);

} // namespace Lagoonbank::Fleet
