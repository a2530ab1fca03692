#pragma once

#include "base/ids.h"

#include <functional>
#include <set>

namespace Lagoonbank::Fleet {

/// The set of data centres that the operators have drained. Endpoints of a drained data centre get
/// no new requests until the drain is removed. The operators' log is authoritative: each state is
/// valid as of an offset of that log, and the state with the later offset wins, whether it was read
/// from the log or received from a peer.
class DataCentreDrains
{
public:
    using Set = std::set<Base::DataCentreId>;

    /// Applies the record just before \a asOf, which drains a data centre or removes its drain.
    void addDrain(const Base::DataCentreId &dataCentre, Base::LogOffset asOf);
    void removeDrain(const Base::DataCentreId &dataCentre, Base::LogOffset asOf);
    /// Replaces the set by \a dataCentres, which is valid as of \a asOf, unless the current set is
    /// as recent.
    void replace(Set dataCentres, Base::LogOffset asOf);
    /// Records that the set is unchanged up to \a asOf.
    void advanceTo(Base::LogOffset asOf);

    const Set &current() const { return m_current; }
    /// The offset up to which the log is reflected in the set; 0 before the first update.
    Base::LogOffset asOf() const { return m_asOf; }

    /// Called after the set has changed.
    std::function<void(const Set &before, const Set &current)> changed;

private:
    Set m_current;
    Base::LogOffset m_asOf;
};

} // namespace Lagoonbank::Fleet
