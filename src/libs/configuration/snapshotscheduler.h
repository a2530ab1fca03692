#pragma once

#include "base/units.h"

#include <cstddef>
#include <optional>

namespace Lagoonbank::Configuration {

/// Decides when this process has to append a snapshot, so that one always stands in the log well
/// inside the retention time. All controllers run it; the live one with the lowest rank comes
/// first and the others hold back when they see its snapshot.
class SnapshotScheduler
{
public:
    struct Options
    {
        Base::Duration retention = std::chrono::hours(1); ///< Of the log.
        int snapshotsPerRetention = 4;
        Base::Duration startDelay = std::chrono::seconds(5); ///< Before the first one.
        Base::Duration rankStep = std::chrono::seconds(2); ///< Head start of each rank.
        Base::Duration retryDelay = std::chrono::seconds(2); ///< After an append without effect.
    };

    SnapshotScheduler(const Options &options, Base::MonoTime start)
        : m_options(options)
        , m_start(start)
    { }

    /// A whole snapshot came in while the end of the log had been reached. The age of those read
    /// before that is not known, and they do not count.
    void snapshotSeen(Base::MonoTime now) { m_lastSnapshotSeen = now; }
    /// This process began to append one.
    void appendStarted(Base::MonoTime now) { m_lastAppendStarted = now; }

    /// `rank` counts the live controllers that come before this one.
    Base::MonoTime dueAt(std::size_t rank) const;
    bool isDue(Base::MonoTime now, std::size_t rank) const { return now >= dueAt(rank); }

private:
    Options m_options;
    Base::MonoTime m_start;
    std::optional<Base::MonoTime> m_lastSnapshotSeen;
    std::optional<Base::MonoTime> m_lastAppendStarted;
};

} // namespace Lagoonbank::Configuration
