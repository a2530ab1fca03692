#pragma once

#include "fleetsync/softwarelog.h"
#include "keyedlog/keyedrefresh.h"
#include "schema/generated/fleetsync.h"

#include <functional>
#include <optional>

namespace Lagoonbank::FleetSync {

/// Reads on demand which software versions serve or have served within the last minute, from the
/// entries of the endpoints and from the log of versions. The latter has versions whose entries are
/// missing because their endpoints have left, or could not write during an outage of the store.
class SoftwareRefresh
{
public:
    using Refreshed = KeyedLog::KeyedRefresh::Refreshed;

    struct Options
    {
        KeyedLog::KeyedSource endpoints;
        KeyedLog::KeyedSource software;
        Runtime::TimerQueue *timers = nullptr;
    };

    explicit SoftwareRefresh(const Options &options);

    /// Called for each entry that is read. Known entries may be read again.
    std::function<void(const KeyedLog::KeyedRecord &record)> endpointRead;
    /// Called for each version that is read. Known ones may be read again.
    std::function<void(const Schema::SharedSoftware &use)> softwareRead;
    /// Called for each record of a version that cannot be read.
    KeyedLog::UnreadableRecord softwareUnreadable;

    /// Reads both with calls that begin after this one. \a refreshed is called once, with whether
    /// all is known that the store held at the time of the call, unless this object is destroyed
    /// first.
    void refresh(Refreshed refreshed);
    bool isFailing() const { return m_endpoints.isFailing() || m_software.isFailing(); }
    /// The store has been restored from an older copy. Versions may be missing there for
    /// SoftwareLog::rewriteTime.
    void logRestored();
    /// A call to the store has failed. Nothing can be written again while it is down, so that this
    /// time begins anew if it has not passed.
    void logFailed();
    /// The store answers after a failure.
    void logReturned();

private:
    bool mayLackVersions() const;

    Options m_options;
    KeyedLog::KeyedRefresh m_endpoints;
    KeyedLog::KeyedRefresh m_software;
    std::optional<Base::MonoTime> m_restoredAt;
    bool m_hasFailedSinceRestored = false; ///< The store has not answered since.
};

} // namespace Lagoonbank::FleetSync
