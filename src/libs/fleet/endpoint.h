#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "runtime/udpsocket.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Lagoonbank::Fleet {

enum class EndpointState : std::uint8_t {
    Ready,
    Draining ///< Takes no new work; what it has is finished.
};

/// One start of an endpoint. An address is used again by others; an id only by the same endpoint,
/// which then holds and knows nothing of before.
struct Endpoint
{
    Base::EndpointId id;
    Base::ServiceId service;
    Runtime::SocketAddress address;
    Base::DataCentreId dataCentre;
    std::string softwareVersion;
    int slots = 0; ///< Requests that it runs at once; zero if not known.
    EndpointState state = EndpointState::Ready;
    bool isWarmingUp = false; ///< Bears few requests yet, or again.
    /// When it started, by its own wall clock; nothing if it does not say. Only compared with other
    /// starts under the same id.
    std::optional<Base::WallTime> startedAt;

    bool operator==(const Endpoint &) const = default;
};

/// Whether \a later is another start than \a earlier under the same id: it says so, or it is at
/// another address.
bool isRestart(const Endpoint &earlier, const Endpoint &later);

} // namespace Lagoonbank::Fleet
