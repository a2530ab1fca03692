#pragma once

#include "keyedlog/keyedsource.h"
#include "platformclient/backoff.h"
#include "runtime/timerqueue.h"

#include <map>
#include <memory>
#include <string>

namespace Lagoonbank::KeyedLog {

/// Writes values to a keyed log, one at a time, and repeats each write until it succeeds. Only the
/// newest value of a key is written. Keys take turns in their order, so that keys that are written
/// again and again do not hold up the others.
class PendingWrites
{
public:
    struct Options
    {
        KeyedWrite write;
        Runtime::TimerQueue *timers = nullptr;
        PlatformClient::Backoff::Options backoff; ///< Delay between two attempts.
    };

    explicit PendingWrites(Options options);
    ~PendingWrites();
    PendingWrites(const PendingWrites &) = delete;
    PendingWrites &operator=(const PendingWrites &) = delete;

    /// An empty value drops the key.
    void write(const std::string &key, const std::string &value);
    /// Whether all values have been written.
    bool isIdle() const { return m_values.empty(); }

private:
    void writeNext();
    void written(const std::string &key, const std::string &value,
                 const Errors::Result<void> &result);

    Options m_options;
    PlatformClient::Backoff m_backoff;
    std::map<std::string, std::string> m_values; ///< By key.
    std::string m_latestKey; ///< Of the newest write.
    bool m_isWriting = false;
    Runtime::TimerId m_timer;
    /// Lets callbacks detect that this object has been destroyed.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::KeyedLog
