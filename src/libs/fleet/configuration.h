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

/// What the model engines of one service can do.
struct EngineCapacity
{
    int slots = 0; ///< Requests that run at once.
    Base::Tokens memory; ///< For running requests and cached prompts together.
    int tokensPerEvent = 1; ///< In one event of a stream.
};

/// How an endpoint begins, after its start or whenever it has become cold again.
struct Warmup
{
    Base::Duration time{}; ///< For which it is cold; zero if it never is.
    double requestsPerSecond = 0; ///< That it bears meanwhile, from all callers.
};

struct Service
{
    Base::ServiceId name;
    std::string healthPath;
    int maxConnections = 0; ///< One endpoint takes so many from all callers; zero if not known.
    Warmup warmup;
    std::optional<EngineCapacity> engine; ///< Nothing for a plain service.
};

/// What callers may send and how long they may take.
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
    std::optional<int> priority; ///< Goes before that of a route.
};

/// What a configuration is made of.
struct ConfigurationParts
{
    Base::Revision revision;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::vector<Workspace> workspaces; ///< None: no request needs a key.
};

/// One whole configuration of the fleet, ready to be looked things up in. Never changes.
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

    /// The route of \a host, with or without a port, with the longest prefix of \a path; null if
    /// there is none.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// Null if no workspace has the key.
    const Workspace *findWorkspace(std::string_view key) const;
    const Service *findService(const Base::ServiceId &name) const;

private:
    using HostAndPrefix = std::pair<std::string, std::string>; ///< Host and prefix.

    ConfigurationParts m_parts;
    absl::flat_hash_map<HostAndPrefix, std::size_t> m_routes;
    absl::flat_hash_map<std::string, std::size_t> m_keys;
    absl::flat_hash_map<Base::ServiceId, std::size_t> m_services;
};

/// The service of \a route for a request with this hash; requests spread by the weights.
const Base::ServiceId &serviceFor(const Route &route, std::uint64_t requestHash);

} // namespace Lagoonbank::Fleet
