#pragma once

#include "keyedlog/keyedview.h"
#include "keyedlog/pendingwrites.h"
#include "platformclient/backoff.h"
#include "runtime/timerqueue.h"
#include "schema/generated/fleetsync.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Lagoonbank::FleetSync {

/// A request or a prompt part that is quarantined.
struct QuarantineKey
{
    enum class Kind : std::uint8_t { Request, PromptPart };

    Kind kind = Kind::Request;
    std::uint64_t hash = 0; ///< Fingerprint of the request, or hash of the part.

    bool operator==(const QuarantineKey &) const = default;
};

/// Stores quarantined requests and prompt parts in a keyed log, so that a quarantine survives a
/// restart of all routers at once. Without it no router would be left to propagate the quarantine,
/// and each request would crash three more endpoints. Each key names what is quarantined. A router
/// deletes a key once the duration of a quarantine has passed since the router first read the key.
/// It uses its steady clock: with wall clocks, one router whose clock is wrong would end the
/// quarantine for all routers.
class QuarantineLog
{
public:
    struct Options
    {
        KeyedLog::KeyedWrite write;
        Runtime::TimerQueue *timers = nullptr;
        /// Time after which the key of a request is deleted.
        Base::Duration retention = std::chrono::hours(1);
        /// The same for a prompt part, whose quarantine is shorter.
        Base::Duration partRetention = std::chrono::minutes(10);
        /// Minimum remaining time of a quarantine that is missing in the log to be written again.
        /// If less is left, another router may have deleted the key.
        Base::Duration minLeftToSave = std::chrono::minutes(1);
        PlatformClient::Backoff::Options backoff; ///< Delay between two attempts to write.
    };

    explicit QuarantineLog(Options options);
    ~QuarantineLog();
    QuarantineLog(const QuarantineLog &) = delete;
    QuarantineLog &operator=(const QuarantineLog &) = delete;

    /// Called for each quarantine that is read from the log.
    std::function<void(const QuarantineKey &key)> received;
    /// Called for each record that cannot be read.
    KeyedLog::UnreadableRecord unreadable;

    struct Quarantine
    {
        QuarantineKey key;
        Base::Duration remaining{};
    };

    /// Writes the quarantine to the log; retries until it succeeds. One is written at a time.
    void save(const QuarantineKey &key);
    /// Deletes a quarantine that has ended early.
    void remove(const QuarantineKey &key);
    /// Writes those quarantines to the log again that are missing among its keys \a present, as it
    /// has been restored from an older copy.
    void saveMissing(const std::vector<Quarantine> &quarantines,
                     const KeyedLog::KeyedView::Keys &present);
    /// Handles a record that was read from the log.
    void recordRead(const KeyedLog::KeyedRecord &record);

private:
    void scheduleDrop(const QuarantineKey &quarantine);

    Options m_options;
    KeyedLog::PendingWrites m_writes;
    std::map<std::string, Runtime::TimerId> m_dropTimers; ///< Timers that delete keys, by key.
};

} // namespace Lagoonbank::FleetSync
