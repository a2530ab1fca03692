#include "runtime/filewatch.h"

#include <sys/stat.h>

#include <utility>

namespace Lagoonbank::Runtime {

FileWatch::FileWatch(Options options)
    : m_options(std::move(options))
    , m_status(readStatus())
{
    m_timer = m_options.timers->start(m_options.interval, [this] { check(); });
}

FileWatch::~FileWatch()
{
    m_options.timers->cancel(m_timer);
}

FileWatch::FileStatus FileWatch::readStatus() const
{
    struct stat status
    { };
    if (stat(m_options.path.c_str(), &status) != 0)
        return {};
    return {.inode = status.st_ino,
            .size = status.st_size,
            .modificationTime = std::chrono::seconds(status.st_mtim.tv_sec)
                + std::chrono::nanoseconds(status.st_mtim.tv_nsec)};
}

void FileWatch::check()
{
    m_timer = m_options.timers->start(m_options.interval, [this] { check(); });
    const FileStatus status = readStatus();
    // A missing file is about to be replaced.
    if (status == m_status || status == FileStatus())
        return;
    m_status = status;
    m_options.changed();
}

} // namespace Lagoonbank::Runtime
