#include "logging/boundedoutput.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace Lagoonbank::Logging {

namespace {

/// A writable pipe accepts this many bytes at once (POSIX), so that such a write does not block.
/// The descriptor itself must stay in blocking mode because other processes share it.
constexpr std::size_t maxWriteBytes = PIPE_BUF;

bool isWritable(int descriptor)
{
    pollfd polled{descriptor, POLLOUT, 0};
    return poll(&polled, 1, 0) > 0 && (polled.revents & POLLOUT) != 0;
}

} // namespace

bool BoundedOutput::write(std::string_view line)
{
    if (queuedBytes() + line.size() + 1 > m_options.capacity) {
        ++m_droppedLines;
        return false;
    }
    m_buffer += line;
    m_buffer += '\n';
    return true;
}

void BoundedOutput::flush()
{
    while (queuedBytes() > 0 && isWritable(m_options.descriptor)) {
        const std::size_t size = std::min(queuedBytes(), maxWriteBytes);
        const ssize_t written = ::write(m_options.descriptor, m_buffer.data() + m_written, size);
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            break; // The reader is gone or slow; the capacity limits the buffer.
        m_written += static_cast<std::size_t>(written);
    }
    if (m_written == m_buffer.size() || m_written >= m_options.capacity / 2) {
        m_buffer.erase(0, m_written);
        m_written = 0;
    }
}

} // namespace Lagoonbank::Logging
