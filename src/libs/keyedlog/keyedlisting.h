#pragma once

#include "keyedlog/keyedsource.h"
#include "platformclient/backoff.h"
#include "runtime/timerqueue.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Lagoonbank::KeyedLog {

/// Lists the newest record of each key of a log once. Repeats failed reads until they succeed.
class KeyedListing
{
public:
    struct Options
    {
        KeyedSource source;
        Runtime::TimerQueue *timers = nullptr;
        PlatformClient::Backoff::Options backoff; ///< Delay between two attempts.
    };

    explicit KeyedListing(Options options);
    ~KeyedListing();
    KeyedListing(const KeyedListing &) = delete;
    KeyedListing &operator=(const KeyedListing &) = delete;

    std::function<void(const KeyedRecord &record)> listed;
    /// Called when all keys have been listed; \a end is the end of the log at the first page.
    std::function<void(Base::LogOffset end)> completed;

    /// Lists the keys that begin with \a prefix. A listing in progress is abandoned.
    void start(const std::string &prefix = {});
    /// Whether the last read has failed.
    bool isFailing() const { return m_isFailing; }

private:
    void read();
    void pageRead(const Errors::Result<NewestPage> &page);

    Options m_options;
    PlatformClient::Backoff m_backoff;
    std::string m_prefix;
    std::string m_lastKey; ///< Last key of the previous page.
    std::optional<Base::LogOffset> m_end;
    bool m_isFailing = false;
    Runtime::TimerId m_timer;
    /// Lets callbacks detect that the listing was abandoned.
    std::shared_ptr<bool> m_isCurrent;
};

} // namespace Lagoonbank::KeyedLog
