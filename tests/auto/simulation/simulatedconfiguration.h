#pragma once

#include "fleet/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Simulation {

/// The simulation stores the platform's records as plain text, which is cheap to parse.

/// Stands for a configuration: its revision and its size when compressed.
struct SimulatedConfiguration
{
    std::uint64_t revision = 0;
    std::size_t bytes = 0;
};
constexpr const char *configurationKey = "config";
std::string toText(const SimulatedConfiguration &configuration);
SimulatedConfiguration readConfiguration(const std::string &text);
/// Size of the configuration on the wire; 0 for an empty text.
std::size_t configurationBytes(const std::string &text);

std::string toText(const Lagoonbank::Fleet::Endpoint &endpoint,
                   Lagoonbank::Fleet::EntrySequence sequence = {});
/// An entry that no router can parse.
constexpr const char *unreadableEntry = "?";
/// Returns std::nullopt if the entry cannot be parsed.
std::optional<Lagoonbank::Fleet::Endpoint> readEndpoint(const std::string &id,
                                                        const std::string &text);

/// Returns zero if the entry has no sequence number.
Lagoonbank::Fleet::EntrySequence readSequence(const std::string &text);

} // namespace Simulation
