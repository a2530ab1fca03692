#pragma once

#include <cstddef>

/// Limits of the messages between routers, as schema/fleetsync.yaml gives them. A message with a
/// value beyond its limit fails as a whole, so that values from the store are checked before they
/// are passed on.
namespace Lagoonbank::FleetSync::MessageLimits {

constexpr std::size_t endpointIdBytes = 96;
constexpr std::size_t serviceBytes = 96;
constexpr std::size_t routerIdBytes = 64;
constexpr std::size_t dataCentreBytes = 64;
constexpr std::size_t softwareBytes = 64;
/// Number of drained data centres in a beacon.
constexpr std::size_t drainedDataCentres = 64;

} // namespace Lagoonbank::FleetSync::MessageLimits
