#pragma once

#include "base/text.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace Lagoonbank::Gateway {

/// Memory of all answers, and events of streams, that a router buffers.
class AnswerMemory
{
public:
    explicit AnswerMemory(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    { }

    bool isExceeded() const { return m_bytes > m_maxBytes; }

private:
    friend class AnswerMemoryShare;

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
};

/// What one buffer takes of an AnswerMemory.
class AnswerMemoryShare
{
public:
    explicit AnswerMemoryShare(AnswerMemory &memory)
        : m_memory(memory)
    { }
    ~AnswerMemoryShare() { set(0); }
    AnswerMemoryShare(const AnswerMemoryShare &) = delete;
    AnswerMemoryShare &operator=(const AnswerMemoryShare &) = delete;

    void set(std::size_t bytes)
    {
        m_memory.m_bytes += bytes;
        m_memory.m_bytes -= std::exchange(m_bytes, bytes);
    }
    std::size_t bytes() const { return m_bytes; }

private:
    AnswerMemory &m_memory;
    std::size_t m_bytes = 0;
};

/// The body of one answer, which counts in an AnswerMemory.
class AnswerBuffer
{
public:
    explicit AnswerBuffer(AnswerMemory &memory)
        : m_share(memory)
    { }

    /// Grows in small steps, as doubling would take twice the memory of a large body.
    void append(std::string_view piece)
    {
        const std::size_t size = m_body.size() + piece.size();
        constexpr std::size_t growthDivisor = 8;
        if (size > m_body.capacity())
            Base::reserveExactly(m_body, size + size / growthDivisor);
        m_body += piece;
        m_share.set(m_body.capacity());
    }
    std::size_t bytes() const { return m_share.bytes(); }
    std::string take()
    {
        m_share.set(0);
        return std::exchange(m_body, {});
    }

private:
    AnswerMemoryShare m_share;
    std::string m_body;
};

} // namespace Lagoonbank::Gateway
