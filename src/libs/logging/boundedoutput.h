#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Lagoonbank::Logging {

/// Writes lines to a descriptor without blocking on a slow reader: lines that do not fit into the
/// buffer are dropped and counted.
class BoundedOutput
{
public:
    struct Options
    {
        int descriptor = 1;
        std::size_t capacity = 256 * 1024; ///< Size limit of the buffer in bytes.
    };

    explicit BoundedOutput(Options options)
        : m_options(options)
    { }

    /// Buffers \a line and appends a line end; returns false if the line was dropped.
    bool write(std::string_view line);
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    std::size_t queuedBytes() const { return m_buffer.size() - m_written; }
    std::uint64_t droppedLines() const { return m_droppedLines; }

private:
    Options m_options;
    std::string m_buffer;
    std::size_t m_written = 0; ///< Bytes at the front of the buffer that are written.
    std::uint64_t m_droppedLines = 0;
};

} // namespace Lagoonbank::Logging
