#pragma once

#include "base/ids.h"
#include "runtime/udpsocket.h"

#include <cstdint>
#include <string>

namespace Lagoonbank::Fleet {

enum class EndpointState : std::uint8_t {
    Ready,
    Draining ///< Takes no new work; what it has is finished.
};

/// One start of an endpoint. An address is used again by others, an id never is.
struct Endpoint
{
    Base::EndpointId id;
    Base::ServiceId service;
    Runtime::SocketAddress address;
    Base::DataCentreId dataCentre;
    std::string softwareVersion;
    int slots = 0; ///< Requests that it runs at once; zero if not known.
    EndpointState state = EndpointState::Ready;

    bool operator==(const Endpoint &) const = default;
};

} // namespace Lagoonbank::Fleet
