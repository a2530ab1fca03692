#include "auto/simulation/simulatedconfiguration.h"

#include "runtime/udpsocket.h"

#include <sstream>

namespace Simulation {

using namespace Lagoonbank;

std::string toText(const SimulatedConfiguration &configuration)
{
    return std::to_string(configuration.revision) + ' ' + std::to_string(configuration.bytes);
}

SimulatedConfiguration readConfiguration(const std::string &text)
{
    SimulatedConfiguration configuration;
    std::istringstream stream(text);
    stream >> configuration.revision >> configuration.bytes;
    return configuration;
}

std::size_t configurationBytes(const std::string &text)
{
    return text.empty() ? 0 : readConfiguration(text).bytes;
}

std::string toText(const Fleet::Endpoint &endpoint, Fleet::EntrySequence sequence)
{
    const bool isDraining = endpoint.state == Fleet::EndpointState::Draining;
    const std::int64_t started =
        endpoint.startedAt ? Base::toMilliseconds(endpoint.startedAt->time_since_epoch()) : 0;
    return std::string(isDraining ? "draining " : "ready ") + endpoint.address.ip + ' '
        + std::to_string(endpoint.address.port) + ' ' + std::to_string(started) + ' '
        + std::to_string(sequence.value());
}

std::optional<Fleet::Endpoint> readEndpoint(const std::string &id, const std::string &text)
{
    std::istringstream stream(text);
    std::string state;
    Fleet::Endpoint endpoint{.id = Base::EndpointId(id), .service = Base::ServiceId("service")};
    std::int64_t started = 0;
    if (!(stream >> state >> endpoint.address.ip >> endpoint.address.port >> started))
        return std::nullopt;
    if (state == "draining")
        endpoint.state = Fleet::EndpointState::Draining;
    if (started > 0)
        endpoint.startedAt = Base::WallTime(std::chrono::milliseconds(started));
    return endpoint;
}

Fleet::EntrySequence readSequence(const std::string &text)
{
    const std::size_t separator = text.rfind(' ');
    return Fleet::EntrySequence(
        separator == std::string::npos ? 0 : std::stoull(text.substr(separator + 1)));
}

} // namespace Simulation
