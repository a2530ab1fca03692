#include "runtime/filewatch.h"

#include <sys/stat.h>

#include <utility>

namespace Lagoonbank::Runtime {

FileWatch::FileWatch(Options options)
    : m_options(std::move(options))
    , m_mark(look())
{
    m_timer = m_options.timers->start(m_options.interval, [this] { check(); });
}

FileWatch::~FileWatch()
{
    m_options.timers->cancel(m_timer);
}

FileWatch::Mark FileWatch::look() const
{
    struct stat state
    { };
    if (stat(m_options.path.c_str(), &state) != 0)
        return {};
    return {.inode = state.st_ino,
            .size = state.st_size,
            .modifiedAt = std::chrono::seconds(state.st_mtim.tv_sec)
                + std::chrono::nanoseconds(state.st_mtim.tv_nsec)};
}

void FileWatch::check()
{
    m_timer = m_options.timers->start(m_options.interval, [this] { check(); });
    const Mark mark = look();
    // A file that is missing is being replaced.
    if (mark == m_mark || mark == Mark())
        return;
    m_mark = mark;
    m_options.changed();
}

} // namespace Lagoonbank::Runtime
