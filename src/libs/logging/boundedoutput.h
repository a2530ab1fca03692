#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Lagoonbank::Logging {

/// Writes lines to a descriptor without ever waiting for its reader: what does not fit into the
/// buffer is dropped and counted.
class BoundedOutput
{
public:
    struct Options
    {
        int descriptor = 1;
        std::size_t capacity = 256 * 1024; ///< Bytes that wait for the reader at most.
    };

    explicit BoundedOutput(Options options)
        : m_options(options)
    { }

    /// Takes one line, to which the line end is added; false if it was dropped.
    bool write(std::string_view line);
    /// Writes as much as the reader takes now.
    void flush();
    std::size_t queuedBytes() const { return m_buffer.size() - m_written; }
    std::uint64_t droppedLines() const { return m_dropped; }

private:
    Options m_options;
    std::string m_buffer;
    std::size_t m_written = 0; ///< Bytes at the front of the buffer that are out.
    std::uint64_t m_dropped = 0;
};

} // namespace Lagoonbank::Logging
