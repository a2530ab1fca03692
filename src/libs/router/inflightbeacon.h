#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Router {

/// Work that one router has in flight at one endpoint.
struct InFlight
{
    std::uint32_t endpoint = 0; ///< Short key of the endpoint's name, see Membership::nameKey().
    Base::WorkUnits work;

    bool operator==(const InFlight &) const = default;
};

/// Encodes the body of a beacon: \a firstByte, then beaconEntryBytes per endpoint. Work is rounded
/// to steps of 8 units and limited to 524,280 units. Entries beyond maxBeaconEntries are left out.
std::string encodeBeacon(char firstByte, const std::vector<InFlight> &entries);
/// Returns no value if \a body does not start with \a firstByte or its length is invalid.
std::optional<std::vector<InFlight>> decodeBeacon(char firstByte, std::string_view body);

/// Size of an entry: short key of the endpoint (4 bytes) and its work in steps (2 bytes), both
/// little-endian.
constexpr std::size_t beaconEntryBytes = 6;
/// Maximum number of entries in a beacon; keeps it within one datagram.
constexpr std::size_t maxBeaconEntries = 180;

} // namespace Lagoonbank::Router
