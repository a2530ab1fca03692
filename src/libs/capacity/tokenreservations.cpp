#include "capacity/tokenreservations.h"

#include <algorithm>

namespace Lagoonbank::Capacity {

bool TokenReservations::isDue(Base::Duration waited, Base::Duration targetLatency) const
{
    return Base::toSeconds(waited) >= m_options.targetShare * Base::toSeconds(targetLatency);
}

bool TokenReservations::reserve(std::uint64_t endpoint, const Reservation &reservation,
                                Base::Tokens memory)
{
    const Base::MonoTime now = reservation.madeAt;
    removeIf([&](const Reservation &other) { return hasEnded(other, now); });
    if (hasReservation(reservation.request, now))
        return false;
    Reservations &reservations = m_endpoints[endpoint];
    Base::Tokens reserved = reservation.tokens;
    for (const Reservation &other : reservations)
        reserved += other.tokens;
    const double maximum = m_options.maximumMemoryShare * static_cast<double>(memory.value());
    if (!reservations.empty() && static_cast<double>(reserved.value()) > maximum)
        return false;
    reservations.push_back(reservation);
    return true;
}

void TokenReservations::release(std::uint64_t request)
{
    removeIf([&](const Reservation &reservation) { return reservation.request == request; });
}

Base::Tokens TokenReservations::reservedTokens(std::uint64_t endpoint, std::uint64_t request,
                                               int priority, Base::MonoTime now) const
{
    Base::Tokens reserved;
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return reserved;
    for (const Reservation &reservation : found->second) {
        if (reservation.request == request)
            break;
        if (reservation.priority <= priority && !hasEnded(reservation, now))
            reserved += reservation.tokens;
    }
    return reserved;
}

bool TokenReservations::hasReservation(std::uint64_t request, Base::MonoTime now) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto &entry) {
        return std::any_of(entry.second.begin(), entry.second.end(),
                           [&](const Reservation &reservation) {
                               return reservation.request == request && !hasEnded(reservation, now);
                           });
    });
}

std::size_t TokenReservations::size() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, reservations] : m_endpoints)
        count += reservations.size();
    return count;
}

void TokenReservations::removeIf(const std::function<bool(const Reservation &)> &isRemoved)
{
    absl::erase_if(m_endpoints, [&](auto &entry) {
        std::erase_if(entry.second, isRemoved);
        return entry.second.empty();
    });
}

} // namespace Lagoonbank::Capacity
