#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace Lagoonbank::Admission {

/// Shares of one whole among participants that can only be given away, never taken (the
/// demarcation protocol, kept as a bounded counter). A cell counts all that one participant ever
/// gave another one and only goes up, so cells may come late, twice, out of order or not at all:
/// a lost one leaves a share unused, never used twice.
class ShareLedger
{
public:
    /// The whole.
    static constexpr std::int64_t totalUnits = 10'000;

    struct Cell
    {
        std::uint16_t from = 0;
        std::uint16_t to = 0;
    };

    ShareLedger() = default;
    /// A gift counts for its receiver only `creditDelay` after this process heard of it; for its
    /// giver at once. It covers the time in which other processes of the giver learn of the gift.
    ShareLedger(std::size_t participants, Base::Duration creditDelay)
        : m_participants(participants)
        , m_creditDelay(creditDelay)
    { }

    std::size_t participants() const { return m_participants; }
    /// Equal parts of the whole; the first ones get what does not divide.
    std::int64_t initialUnits(std::size_t participant) const
    {
        return initialUnits(m_participants, participant);
    }
    static std::int64_t initialUnits(std::size_t participants, std::size_t participant);
    /// What the participant holds now by what is known here; never negative.
    std::int64_t units(std::size_t participant, Base::MonoTime now) const;

    /// Takes a cell's count over if it is higher. False if it is not, or names no participant.
    bool merge(Cell cell, std::uint32_t transferred, Base::MonoTime now);
    /// Gives at most what `from` holds; returns what was given.
    std::int64_t transferUnits(Cell cell, std::int64_t amount, Base::MonoTime now);

    template<typename Visitor>
    void forEach(Visitor visitor) const
    {
        for (const auto &[cell, count] : m_cells)
            visitor(Cell{cell.first, cell.second}, count.latest);
    }

private:
    struct PendingCredit
    {
        std::uint32_t transferred = 0;
        Base::MonoTime effectiveAt{};
    };
    struct CellState
    {
        std::uint32_t latest = 0;
        std::uint32_t credited = 0; // counts for the receiver
        std::vector<PendingCredit> pendingCredits; // will count; in rising order
    };

    void raise(CellState &count, std::uint32_t transferred, Base::MonoTime now) const;
    static std::uint32_t creditedUnits(const CellState &count, Base::MonoTime now);

    std::size_t m_participants = 1;
    Base::Duration m_creditDelay{};
    std::map<std::pair<std::uint16_t, std::uint16_t>, CellState> m_cells; // by giver and receiver
};

} // namespace Lagoonbank::Admission
