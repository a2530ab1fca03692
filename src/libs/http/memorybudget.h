#pragma once

#include "base/units.h"
#include "runtime/clock.h"

#include <boost/intrusive/list.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Lagoonbank::Http {

/// What memory is held for.
enum class MemoryKind : std::uint8_t {
    Arriving, ///< Requests that are not complete yet, and bytes behind a request.
    Waiting, ///< Complete requests, until they are answered.
    Answers ///< Answers that are not sent yet, as their callers do not read them.
};
constexpr std::size_t memoryKindCount = 3;
std::string_view toString(MemoryKind kind);

class MemoryUse;

/// The memory that a process may hold for the clients of its servers. It consists of a part for
/// large requests, one for large answers, and one for everything small, so that small requests are
/// served while large ones are refused. Performs no I/O.
class MemoryBudget
{
public:
    struct Options
    {
        std::size_t maxBytes = 0;
        const Runtime::Clock *clock = nullptr;
        /// Time without progress after which an unfinished request or unread answer yields to any
        /// other one of its part.
        Base::Duration stallTime = std::chrono::seconds(1);
    };
    enum class Event : std::uint8_t {
        Refused, ///< There was no room, and nothing that had to yield.
        Reclaimed ///< Memory was taken from a client for another one.
    };

    explicit MemoryBudget(Options options);
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /// Up to this size, memory comes from the part for what is small: a head of the default limit.
    static constexpr std::size_t maxSmallBytes = 16 * 1024;
    /// Options for a process that may use this much memory, or all of the machine's. Half of it is
    /// for clients, the other half for the process's own state, the allocator and the system's
    /// buffers.
    static Options optionsFor(std::optional<std::uint32_t> mebibytes, const Runtime::Clock &clock);

    std::size_t maxBytes() const { return m_options.maxBytes; }
    /// The largest request that can be held.
    std::size_t maxRequestBytes() const { return maxBytesOf(Part::LargeRequests); }
    std::size_t heldBytes(MemoryKind kind) const
    {
        return m_heldBytes[static_cast<std::size_t>(kind)];
    }
    /// The most that was held at a time, of all kinds together.
    std::size_t peakBytes() const { return m_peakBytes; }
    /// Called for each refusal, and each time that memory is reclaimed.
    std::function<void(MemoryKind kind, Event event)> changed;

private:
    friend class MemoryUse;

    enum class Part : std::uint8_t { Small, LargeRequests, LargeAnswers };
    static constexpr std::size_t partCount = 3;

    std::size_t maxBytesOf(Part part) const;
    static Part partFor(MemoryKind kind, std::size_t bytes);
    bool resize(MemoryUse &use, std::size_t bytes);
    bool makeRoom(MemoryUse &use, Part part, std::size_t bytes);
    MemoryUse *chooseVictim(const MemoryUse &use, Part part);
    bool isStalled(const MemoryUse &use) const;
    void setBytes(MemoryUse &use, std::size_t bytes);
    void report(MemoryKind kind, Event event) const;

    struct YieldingTag;
    using YieldingHook = boost::intrusive::list_base_hook<
        boost::intrusive::tag<YieldingTag>,
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

    Options m_options;
    std::array<std::size_t, memoryKindCount> m_heldBytes{};
    std::array<std::size_t, partCount> m_partBytes{};
    std::size_t m_peakBytes = 0;
    /// Uses that yield to others, in the order in which they began.
    boost::intrusive::list<MemoryUse, boost::intrusive::base_hook<YieldingHook>,
                           boost::intrusive::constant_time_size<false>>
        m_yielding;
};

/// The memory that one client holds for one purpose.
class MemoryUse : public MemoryBudget::YieldingHook
{
public:
    /// \a reclaim has to free the memory and to call resize(0); null if the use does not yield.
    MemoryUse(std::shared_ptr<MemoryBudget> budget, MemoryKind kind,
              std::function<void()> reclaim = nullptr);
    ~MemoryUse();
    MemoryUse(const MemoryUse &) = delete;
    MemoryUse &operator=(const MemoryUse &) = delete;

    /// Sets the amount of memory, before it is allocated or after it was freed. Returns false, and
    /// changes nothing, if there is no room for more.
    [[nodiscard]] bool resize(std::size_t bytes)
    {
        return bytes == m_bytes || m_budget->resize(*this, bytes);
    }
    void release() { static_cast<void>(resize(0)); }
    std::size_t bytes() const { return m_bytes; }
    /// Records that the client goes on to send or read.
    void progressed(Base::MonoTime now) { m_progressedAt = now; }

private:
    friend class MemoryBudget;

    std::shared_ptr<MemoryBudget> m_budget;
    MemoryKind m_kind;
    std::size_t m_bytes = 0;
    bool m_isGrowing = false; ///< It does not yield to what is reclaimed for it.
    Base::MonoTime m_beganAt;
    Base::MonoTime m_progressedAt;
    std::function<void()> m_reclaim;
};

} // namespace Lagoonbank::Http
