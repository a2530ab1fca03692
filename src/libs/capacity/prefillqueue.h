#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Lagoonbank::Capacity {

/// Speed at which an endpoint prefills prompts.
struct PrefillPace
{
    double tokensPerMs = 60; ///< On a machine without other work.
    double slowdown = 1; ///< Duration of work relative to the usual one.
};

/// Models the prefill at an endpoint, which processes prompts one after the other. The work is
/// assumed to progress at the endpoint's pace; first events correct it.
///
/// A first event shows that all prompts sent before it have been prefilled. Conversely, prompts
/// behind a request without a first event count as prefilled only as far as that event may be
/// delayed by decoding, so that an endpoint that sends no first events does not appear to be free.
///
/// Prompts that are done are removed, so that there are no more than fit into the wait time, and
/// the operations walk over them.
class PrefillQueue
{
public:
    struct Options
    {
        /// Maximum time from the end of a prompt's prefill to its first event. With 8 tokens per
        /// event, and a chunk of another prompt (33 ms) between decode steps (up to 6 ms), it takes
        /// 310 ms, and half as long again in the network and the queues of routers.
        Base::Duration maxFirstEventDelay = std::chrono::milliseconds(450);
        /// Age at which an announcement of another router no longer counts. No missing message may
        /// block anything for longer.
        Base::Duration peerLifetime = std::chrono::seconds(3);
    };

    PrefillQueue() = default;
    explicit PrefillQueue(const Options &options)
        : m_options(options)
    { }

    /// Sets the pace from \a now on.
    void setPace(const PrefillPace &pace, Base::MonoTime now);
    /// The request was sent to the endpoint, which has not cached \a uncached of its prompt tokens.
    void requestSent(std::uint64_t request, Base::Tokens uncached, Base::MonoTime now);
    /// The first event of the request has arrived.
    void firstEventReceived(std::uint64_t request, Base::MonoTime now);
    /// The request has left the endpoint or has failed. Its prompt is no longer prefilled.
    void requestEnded(std::uint64_t request);
    /// Another router has announced a prompt at the endpoint.
    void peerPromptAnnounced(Base::Tokens uncached, Base::MonoTime now);
    /// Time until all queued prompts have been prefilled, without regard to first events that are
    /// overdue.
    Base::Duration queuedTime(Base::MonoTime now, double slowdown) const;
    /// Time until all queued prompts have been prefilled. An endpoint whose first event is overdue
    /// is expected to take that much time again.
    Base::Duration waitTime(Base::MonoTime now, double slowdown) const;
    /// Number of prompts, of this and other routers, that are not known to be prefilled.
    std::size_t size() const { return m_prompts.size(); }

private:
    /// Place in the sequence of all prompt tokens sent to the endpoint.
    using Position = double;
    struct Prompt
    {
        std::optional<std::uint64_t> request; ///< Empty if another router has announced it.
        double tokens = 0;
        Position end = 0;
        Base::MonoTime sentAt;
        Base::MonoTime dueAt; ///< The first event is overdue after this time.
    };
    using Prompts = std::deque<Prompt>;

    void append(std::optional<std::uint64_t> request, Base::Tokens uncached, Base::MonoTime now);
    Prompts::iterator find(std::uint64_t request);
    /// The first prompt of this router; null if there is none.
    const Prompt *oldest() const;
    /// Position up to which prompts have been prefilled at \a now.
    Position progress(Base::MonoTime now, double slowdown) const;
    Base::Duration overdueTime(Base::MonoTime now) const;
    void advance(Base::MonoTime now);
    /// Tokens of the prompt that have not been prefilled.
    static double remainingTokens(const Prompt &prompt, Position progress);
    /// Removes a prompt that will not be prefilled.
    Prompts::iterator remove(const Prompts::iterator &prompt);
    bool isExpired(const Prompt &prompt, Base::MonoTime now) const;
    void removeOldPeerPrompts(Base::MonoTime now);

    Options m_options;
    PrefillPace m_pace;
    Position m_end = 0; ///< End of the last prompt.
    Position m_progress = 0; ///< Prompts have been prefilled up to here at m_updatedAt.
    Base::MonoTime m_updatedAt{};
    Base::MonoTime m_firstEventAt{};
    Prompts m_prompts; ///< In the order of sending.
};

} // namespace Lagoonbank::Capacity
