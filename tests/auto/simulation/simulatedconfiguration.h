#pragma once

#include "fleet/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Simulation {

/// The platform's records as this simulation writes them: text that is quick to read.

/// A configuration is its revision and the bytes that it would have when compressed.
struct SimulatedConfiguration
{
    std::uint64_t revision = 0;
    std::size_t bytes = 0;
};
constexpr const char *configurationKey = "config";
std::string toText(const SimulatedConfiguration &configuration);
SimulatedConfiguration readConfiguration(const std::string &text);
/// As it goes over a link; 0 for an empty text.
std::size_t configurationBytes(const std::string &text);

std::string toText(const Lagoonbank::Fleet::Endpoint &endpoint);
/// An entry that no router can read.
constexpr const char *unreadableEntry = "?";
/// Nothing if it cannot be read.
std::optional<Lagoonbank::Fleet::Endpoint> readEndpoint(const std::string &id,
                                                        const std::string &text);

} // namespace Simulation
