#pragma once

#include "base/units.h"
#include "runtime/clock.h"

#include <optional>

namespace Lagoonbank::FleetSync {

/// Tracks up to which time a router's state reflects the store, whether it comes from the store
/// itself or from peers, and whether entries of the store may have expired while no router could
/// read it.
class StoreFreshness
{
public:
    struct Options
    {
        const Runtime::Clock *clock = nullptr;
        /// Minimum length of an outage in which entries may expire. They expire after three missed
        /// heartbeats of 1.2 s, of which one may have passed when the store became unavailable. A
        /// store reader that dies leaves a gap of only 2 s.
        Base::Duration minExpiryOutage = std::chrono::milliseconds(2300);
        /// Maximum time between two reads. If a read has failed, a longer time counts as a gap in
        /// the availability of the store.
        Base::Duration maxReadInterval = std::chrono::milliseconds(800);
        /// If the store was available for no longer than this between two gaps, most endpoints had
        /// no chance to write, as they write every 1.2 s.
        Base::Duration briefRecovery = std::chrono::milliseconds(250);
        /// Time within which endpoints have written their entries again after the store has
        /// recovered (2 s), and a router has read them.
        Base::Duration rewriteTime = std::chrono::milliseconds(2200);
    };

    explicit StoreFreshness(Options options)
        : m_options(options)
        , m_activeAt(options.clock->now())
    { }

    /// Time up to which the state reflects the store; empty if there is no state.
    const std::optional<Base::MonoTime> &asOf() const { return m_asOf; }
    /// When this router last read the store itself.
    const std::optional<Base::MonoTime> &readAt() const { return m_readAt; }
    /// Whether a read has failed since the last successful one.
    bool hasFailed() const { return m_hasFailed; }

    /// Returns the earliest time at which a message that is read now may have arrived. Messages
    /// that arrived while the process was suspended have waited in its sockets, so their content
    /// may be as old as the suspension. To be called whenever the process is active, so that
    /// suspensions are noticed.
    Base::MonoTime arrivalTime();
    /// Returns when the process went on after its last suspension if the state is older than that.
    /// Requests that waited in its sockets meanwhile are handled before the next read.
    std::optional<Base::MonoTime> outdatedSince(Base::MonoTime now) const;
    /// Whether entries may have expired between the time of the current state and \a asOf. Requires
    /// a state. \a isReadOverdue says that a read by this router has waited longer than the store
    /// usually takes to answer.
    bool mayHaveExpired(Base::MonoTime asOf, bool isReadOverdue);
    /// Records that the state reflects the store up to \a asOf; returns whether entries may have
    /// expired since the previous state.
    bool advanceTo(Base::MonoTime asOf, bool isReadOverdue);
    /// Records a successful read by this router, with the effects of advanceTo().
    bool readSucceeded(bool isReadOverdue);
    void readFailed() { m_hasFailed = true; }
    /// Records that the store has been restored from an older copy, which lacks entries as it does
    /// after a long outage.
    void storeRestored();
    /// To be called when this router stops reading: a failed read says nothing about later outages.
    void clearFailure() { m_hasFailed = false; }

private:
    Options m_options;
    std::optional<Base::MonoTime> m_asOf;
    std::optional<Base::MonoTime> m_readAt;
    bool m_hasFailed = false;
    Base::MonoTime m_availableSince{}; ///< End of the last gap.
    Base::MonoTime m_outageStartedAt{}; ///< Start of the gaps that count as one outage.
    Base::MonoTime m_activeAt; ///< When the process was last active.
    Base::MonoTime m_suspendedAt{}; ///< Start of the last suspension.
    std::optional<Base::MonoTime> m_resumedAt; ///< End of the last suspension.
};

} // namespace Lagoonbank::FleetSync
