#pragma once

#include "base/ids.h"
#include "runtime/timerqueue.h"

#include <functional>
#include <optional>
#include <set>

namespace Lagoonbank::Fleet {

/// The set of data centres that the operators have drained. Endpoints of a drained data centre get
/// no new requests until the drain is removed. The operators' log is authoritative: each state is
/// valid as of an offset of that log, and the state with the later offset wins, whether it was read
/// from the log or received from a peer.
///
/// A log that was restored from an older copy lacks the last changes until the operators have
/// written them again, so later states are put in force only at the end of `rewriteTime`.
class DataCentreDrains
{
public:
    using Set = std::set<Base::DataCentreId>;

    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Time in which the operators write again what a restored log lacks.
        Base::Duration rewriteTime = std::chrono::milliseconds(2200);
    };

    explicit DataCentreDrains(Options options)
        : m_options(options)
    { }
    ~DataCentreDrains();
    DataCentreDrains(const DataCentreDrains &) = delete;
    DataCentreDrains &operator=(const DataCentreDrains &) = delete;

    /// Applies the record just before \a asOf, which drains a data centre or removes its drain.
    void addDrain(const Base::DataCentreId &dataCentre, Base::LogOffset asOf);
    void removeDrain(const Base::DataCentreId &dataCentre, Base::LogOffset asOf);
    /// Replaces the set by \a dataCentres, which is valid as of \a asOf, unless the current set is
    /// as recent.
    void replace(Set dataCentres, Base::LogOffset asOf);
    /// Records that the set is unchanged up to \a asOf.
    void advanceTo(Base::LogOffset asOf);
    /// To be called when the log has been restored from an older copy, before its records are read.
    void storeRestored();

    const Set &current() const { return m_current.drained; }
    /// The offset up to which the log is reflected in the set; 0 before the first update.
    Base::LogOffset asOf() const { return m_current.asOf; }

    /// Called after the set has changed.
    std::function<void(const Set &before, const Set &current)> changed;

private:
    struct State
    {
        Set drained;
        Base::LogOffset asOf;
    };

    State &newest() { return m_pending ? *m_pending : m_current; }
    void putInForce(State state);

    Options m_options;
    State m_current;
    std::optional<State> m_pending; ///< Later than the current state; set only during rewriteTime.
    std::optional<Runtime::TimerId> m_rewriteTimer; ///< Runs for rewriteTime.
};

} // namespace Lagoonbank::Fleet
