#pragma once

#include "keyedlog/keyedsource.h"
#include "platformclient/backoff.h"
#include "runtime/timerqueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Lagoonbank::FleetSync {

/// Keeps in a keyed log which requests are quarantined, so that it outlasts the loss of all
/// routers: with nobody left to tell, they would let each request end three endpoints more. A key
/// is a request. It is dropped by whoever has known it for the time of a quarantine, by its own
/// steady clock: a router whose wall clock is wrong would end it for all.
class QuarantineLog
{
public:
    struct Options
    {
        KeyedLog::KeyedWrite write;
        Runtime::TimerQueue *timers = nullptr;
        Base::Duration retention = std::chrono::hours(1); ///< For which a key is kept.
        PlatformClient::Backoff::Options backoff; ///< Between tries.
    };

    explicit QuarantineLog(Options options);
    ~QuarantineLog();
    QuarantineLog(const QuarantineLog &) = delete;
    QuarantineLog &operator=(const QuarantineLog &) = delete;

    /// The log has this request.
    std::function<void(std::uint64_t request)> received;

    /// Writes it until the log has it, one after the other.
    void save(std::uint64_t request);
    /// The log has this record.
    void recordRead(const KeyedLog::KeyedRecord &record);

private:
    void scheduleDrop(const std::string &key);
    void write(const std::string &key, const std::string &value);
    void writeNext();
    void written(const std::string &key, const Errors::Result<void> &result);

    Options m_options;
    PlatformClient::Backoff m_backoff;
    std::map<std::string, Runtime::TimerId> m_dropTimers; ///< By keys that are in the log.
    std::map<std::string, std::string>
        m_pendingWrites; ///< Values by keys; an empty one drops the key.
    bool m_isWriting = false;
    Runtime::TimerId m_timer;
    /// Answers that come after this object is gone find it out by this.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::FleetSync
