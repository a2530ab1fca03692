#pragma once

#include "base/units.h"

#include <cstddef>
#include <optional>

namespace Lagoonbank::Configuration {

/// Decides when this process has to append a snapshot, so that the log always contains one well
/// within the retention time. All controllers run a scheduler. The live controller with the lowest
/// rank is due first; the others skip their turn when they see its snapshot.
class SnapshotScheduler
{
public:
    struct Options
    {
        Base::Duration retention = std::chrono::hours(1); ///< Retention time of the log.
        int snapshotsPerRetention = 4;
        Base::Duration startDelay = std::chrono::seconds(5); ///< Delay before the first snapshot.
        /// Additional delay of a snapshot for each live controller that precedes this one.
        Base::Duration delayPerRank = std::chrono::seconds(2);
        Base::Duration retryDelay =
            std::chrono::seconds(2); ///< Delay before an unseen snapshot is repeated.
    };

    SnapshotScheduler(const Options &options, Base::MonoTime start)
        : m_options(options)
        , m_startedAt(start)
    { }

    /// Must be called when a complete snapshot is read after the end of the log has been reached.
    /// Do not call it for snapshots read before that, as their age is unknown.
    void snapshotSeen(Base::MonoTime now) { m_lastSnapshotSeen = now; }
    /// Must be called when this process starts to append a snapshot.
    void appendStarted(Base::MonoTime now) { m_lastAppendStarted = now; }

    /// Time at which this process has to append a snapshot. `rank` is the number of live
    /// controllers that precede this one.
    Base::MonoTime dueAt(std::size_t rank) const;
    bool isDue(Base::MonoTime now, std::size_t rank) const { return now >= dueAt(rank); }

private:
    Options m_options;
    Base::MonoTime m_startedAt;
    std::optional<Base::MonoTime> m_lastSnapshotSeen;
    std::optional<Base::MonoTime> m_lastAppendStarted;
};

} // namespace Lagoonbank::Configuration
