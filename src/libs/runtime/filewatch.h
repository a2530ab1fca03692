#pragma once

#include "base/units.h"
#include "runtime/timerqueue.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Lagoonbank::Runtime {

/// Polls a file and reports when it was written or replaced.
class FileWatch
{
public:
    struct Options
    {
        TimerQueue *timers = nullptr;
        std::string path;
        Base::Duration interval = std::chrono::seconds(1);
        std::function<void()> changed;
    };

    explicit FileWatch(Options options);
    ~FileWatch();
    FileWatch(const FileWatch &) = delete;
    FileWatch &operator=(const FileWatch &) = delete;

private:
    /// Attributes by which a change of the file is detected.
    struct FileStatus
    {
        std::uint64_t inode = 0;
        std::int64_t size = -1;
        Base::Duration modificationTime{};
        bool operator==(const FileStatus &) const = default;
    };

    FileStatus readStatus() const;
    void check();

    Options m_options;
    FileStatus m_status;
    TimerId m_timer;
};

} // namespace Lagoonbank::Runtime
