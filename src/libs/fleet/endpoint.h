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
    Draining ///< Accepts no new requests but finishes those that it has.
};

/// Number of a write of an endpoint's entry, counted by the endpoint since its start; zero if not
/// known.
using EntrySequence = Base::StrongNumber<struct EntrySequenceTag, std::uint64_t>;

/// One start of an endpoint. An address may be reused by other endpoints. An id is reused only by a
/// restart of the same endpoint, which has lost its caches and all other state.
struct Endpoint
{
    Base::EndpointId id;
    Base::ServiceId service;
    Runtime::SocketAddress address;
    Base::DataCentreId dataCentre;
    std::string softwareVersion;
    int slots = 0; ///< Maximum number of concurrent requests; zero if not known.
    EndpointState state = EndpointState::Ready;
    bool isWarmingUp = false; ///< Is cold, so that it can run few requests only.
    /// Time of the start by the endpoint's own wall clock; not set if the endpoint does not report
    /// it. Compared only with other starts under the same id.
    std::optional<Base::WallTime> startedAt;

    bool operator==(const Endpoint &) const = default;
};

/// Whether \a later is a different start than \a earlier under the same id, that is, whether the
/// reported start time or the address differs.
bool isRestart(const Endpoint &earlier, const Endpoint &later);

} // namespace Lagoonbank::Fleet
