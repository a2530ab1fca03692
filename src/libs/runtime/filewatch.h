#pragma once

#include "base/units.h"
#include "runtime/timerqueue.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Lagoonbank::Runtime {

/// Looks at a file again and again and tells when it was written or replaced.
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
    /// What tells one state of a file from another.
    struct Mark
    {
        std::uint64_t inode = 0;
        std::int64_t size = -1;
        Base::Duration modifiedAt{};
        bool operator==(const Mark &) const = default;
    };

    Mark look() const;
    void check();

    Options m_options;
    Mark m_mark;
    TimerId m_timer;
};

} // namespace Lagoonbank::Runtime
