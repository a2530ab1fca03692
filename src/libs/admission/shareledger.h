#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Lagoonbank::Admission {

/// Divides a fixed number of units among participants; a participant can only transfer units that
/// it holds and never takes units from another one (the demarcation protocol, implemented as a
/// bounded counter). For each sending and receiving participant, it stores the total of all units
/// transferred so far. The total only increases, so that messages may be late, duplicated,
/// reordered or lost: a lost message leaves units unused, but never lets two participants use them.
class ShareLedger
{
public:
    /// Units of all participants together.
    static constexpr std::int64_t totalUnits = 10'000;

    /// Indexes of the sending and the receiving participant of a transfer.
    struct Direction
    {
        std::uint16_t from = 0;
        std::uint16_t to = 0;
    };

    ShareLedger() = default;
    /// A transfer is debited immediately, but credited to its receiver only \a creditDelay after
    /// this process has received it. The delay covers the time until all processes of the sending
    /// participant know about the transfer.
    ShareLedger(std::size_t participants, Base::Duration creditDelay)
        : m_participants(participants)
        , m_creditDelay(creditDelay)
    { }

    std::size_t participants() const { return m_participants; }
    /// Units of a participant before any transfer: equal parts, with the remainder spread over the
    /// first participants.
    std::int64_t initialUnits(std::size_t participant) const
    {
        return initialUnits(m_participants, participant);
    }
    static std::int64_t initialUnits(std::size_t participants, std::size_t participant);
    /// Units that the participant holds, as far as known to this process; never negative.
    std::int64_t units(std::size_t participant, Base::MonoTime now) const;

    /// Sets the total of \a direction to \a transferred if that is higher. Returns false if it is
    /// not, or if `from` and `to` are not two different participants.
    bool merge(Direction direction, std::uint32_t transferred, Base::MonoTime now);
    /// Transfers \a amount, but at most what participant `from` holds; returns the number of units
    /// transferred.
    std::int64_t transferUnits(Direction direction, std::int64_t amount, Base::MonoTime now);

    /// Calls `visitor` with each direction that has transfers and its highest received total.
    template<typename Visitor>
    void forEachTotal(Visitor visitor) const
    {
        for (const auto &[direction, total] : m_totals)
            visitor(Direction{direction.first, direction.second}, total.latest);
    }

private:
    struct PendingCredit
    {
        std::uint32_t transferred = 0;
        Base::MonoTime effectiveAt{};
    };
    struct Total
    {
        std::uint32_t latest = 0; // highest total received
        std::uint32_t credited = 0; // total up to which the receiver has been credited
        std::vector<PendingCredit> pendingCredits; // in increasing order of `transferred`
    };

    void raise(Total &total, std::uint32_t transferred, Base::MonoTime now) const;
    static std::uint32_t creditedUnits(const Total &total, Base::MonoTime now);

    std::size_t m_participants = 1;
    Base::Duration m_creditDelay{};
    std::map<std::pair<std::uint16_t, std::uint16_t>, Total> m_totals; // by sender and receiver
};

} // namespace Lagoonbank::Admission
