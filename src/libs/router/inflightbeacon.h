#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Router {

/// What one router has in flight at one endpoint.
struct InFlight
{
    std::uint32_t endpoint = 0; ///< Short key of the endpoint's name, see Membership::nameKey().
    Base::WorkUnits work;

    bool operator==(const InFlight &) const = default;
};

/// Body of a beacon: \a mark, then six bytes an endpoint. Work is told in steps of 8 units up to
/// 524,280; at most maxBeaconEntries go into one.
std::string encodeBeacon(char mark, const std::vector<InFlight> &entries);
/// Nothing if the body is no beacon or its length is wrong.
std::optional<std::vector<InFlight>> decodeBeacon(char mark, std::string_view body);

constexpr std::size_t beaconEntryBytes = 6;
constexpr std::size_t maxBeaconEntries = 180;

} // namespace Lagoonbank::Router
