#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "fleet/endpoint.h"
#include "schema/generated/fleetsync.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace Lagoonbank::Gateway {

/// Hash of a service and of a version of its endpoints' software; the same on every router. Zero if
/// the version is unknown.
using SoftwareHash = Base::StrongNumber<struct SoftwareHashTag, std::uint64_t>;

SoftwareHash softwareHash(const Fleet::Endpoint &endpoint);

/// A version that endpoints of a service run or have run.
struct SoftwareUse
{
    Base::ServiceId service;
    SoftwareHash software;
    Base::Duration age{}; ///< Since its last endpoint was removed; zero while there are some.
};
Schema::SharedSoftware toShared(const SoftwareUse &use);
SoftwareUse fromShared(const Schema::SharedSoftware &shared);

/// The software versions that the endpoints of each service run, or have run a short time ago.
/// Reads no clock.
class SoftwareVersions
{
public:
    struct Options
    {
        /// Time after the removal of a version's last endpoint in which callers may still resume
        /// streams that it began. Exceeds the timeouts of streams, which are seconds.
        Base::Duration retention = std::chrono::minutes(1);
    };

    explicit SoftwareVersions(const Options &options)
        : m_options(options)
    { }

    void endpointAdded(const Base::ServiceId &service, SoftwareHash software);
    void endpointRemoved(const Base::ServiceId &service, SoftwareHash software, Base::MonoTime now);
    /// Records what a peer knows, which may have seen endpoints that this router has not.
    void merge(const SoftwareUse &use, Base::MonoTime now);
    /// Whether endpoints run or have run the version.
    bool isKnown(SoftwareHash software, Base::MonoTime now) const;
    /// All versions that are used or have been used.
    std::vector<SoftwareUse> uses(Base::MonoTime now) const;
    /// The version that all endpoints of the service run and have run. Unset if there are several,
    /// or no endpoints.
    std::optional<SoftwareHash> only(const Base::ServiceId &service, Base::MonoTime now) const;
    /// Whether endpoints of the service run or have run several versions.
    bool isMixed(const Base::ServiceId &service, Base::MonoTime now) const;
    std::set<Base::ServiceId> mixedServices(Base::MonoTime now) const;
    /// The versions of the services that are mixed.
    std::set<SoftwareHash> mixedSoftware(Base::MonoTime now) const;

private:
    struct Usage
    {
        int endpoints = 0;
        Base::MonoTime removedAt{}; ///< When the last endpoint was removed.
    };
    using Usages = absl::flat_hash_map<SoftwareHash, Usage>;

    bool isUsed(const Usage &usage, Base::MonoTime now) const
    {
        return usage.endpoints > 0 || now - usage.removedAt < m_options.retention;
    }

    Options m_options;
    absl::flat_hash_map<Base::ServiceId, Usages> m_services;
};

} // namespace Lagoonbank::Gateway
