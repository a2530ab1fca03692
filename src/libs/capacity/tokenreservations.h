#pragma once

#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

namespace Lagoonbank::Capacity {

/// KV cache tokens of endpoints that are kept free for requests of this router that wait for
/// memory. Without them, small requests would take each free part of the memory before it is large
/// enough for a large request.
///
/// Reservations exist only in this router: other routers see the free memory with the next load
/// report. Requests with reservations at an endpoint get its memory in the order of their
/// reservations.
class TokenReservations
{
public:
    struct Options
    {
        /// Share of its target latency for which a request waits before memory is reserved for it.
        /// A running request ends every 20 to 50 ms, so that a short wait needs no reservation.
        double targetShare = 0.02;
        /// Time after which a reservation ends although its request still waits. The endpoint may
        /// be full of requests of other routers.
        Base::Duration lifetime = std::chrono::seconds(3);
        /// Share of an endpoint's memory up to which reservations are added. One that is larger is
        /// made if it is the only one.
        double maximumMemoryShare = 0.1;
    };
    struct Reservation
    {
        std::uint64_t request = 0;
        Base::Tokens tokens;
        int priority = 0; ///< Lower values are more urgent.
        Base::MonoTime madeAt;
    };

    TokenReservations() = default;
    explicit TokenReservations(const Options &options)
        : m_options(options)
    { }

    /// Whether a request with this target latency has waited long enough for a reservation.
    bool isDue(Base::Duration waited, Base::Duration targetLatency) const;
    /// Reserves part of the \a memory of the endpoint. False if too much of it is reserved already,
    /// or if the request has a reservation.
    bool reserve(std::uint64_t endpoint, const Reservation &reservation, Base::Tokens memory);
    /// Ends the reservation of a request that was sent, refused or cancelled.
    void release(std::uint64_t request);
    /// Tokens at the endpoint that the request must leave free: those reserved for others. Those
    /// reserved after its own reservation, or for less urgent requests, do not count.
    Base::Tokens reservedTokens(std::uint64_t endpoint, std::uint64_t request, int priority,
                                Base::MonoTime now) const;
    bool hasReservation(std::uint64_t request, Base::MonoTime now) const;
    /// Number of reservations, including those that have ended but are not removed yet.
    std::size_t size() const;

private:
    using Reservations = std::vector<Reservation>;

    bool hasEnded(const Reservation &reservation, Base::MonoTime now) const
    {
        return now - reservation.madeAt >= m_options.lifetime;
    }
    void removeIf(const std::function<bool(const Reservation &)> &isRemoved);

    Options m_options;
    /// By endpoint, in the order in which they were made. Holds no empty entries.
    absl::flat_hash_map<std::uint64_t, Reservations> m_endpoints;
};

} // namespace Lagoonbank::Capacity
