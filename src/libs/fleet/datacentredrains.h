#pragma once

#include "base/ids.h"

#include <functional>
#include <set>

namespace Lagoonbank::Fleet {

/// The data centres that the operators have drained: their endpoints get no new requests until the
/// drain is taken back. The operators' log decides; what is known is true as of a place in it, so
/// that of two states the one as of the later place holds, whoever tells it.
class DataCentreDrains
{
public:
    using Set = std::set<Base::DataCentreId>;

    /// The record before \a asOf drains a data centre, or takes that back.
    void addDrain(const Base::DataCentreId &dataCentre, Base::LogOffset asOf);
    void removeDrain(const Base::DataCentreId &dataCentre, Base::LogOffset asOf);
    /// All drains that there are, as of this place.
    void replace(Set dataCentres, Base::LogOffset asOf);
    /// The log holds nothing else up to this place.
    void advanceTo(Base::LogOffset asOf);

    const Set &current() const { return m_current; }
    /// Where the log had been read to; 0 while nothing is known.
    Base::LogOffset asOf() const { return m_asOf; }

    /// The set is another one.
    std::function<void(const Set &before, const Set &current)> changed;

private:
    Set m_current;
    Base::LogOffset m_asOf;
};

} // namespace Lagoonbank::Fleet
