#pragma once

#include "base/units.h"
#include "runtime/clock.h"

#include <optional>

namespace Lagoonbank::FleetSync {

/// Up to when a router knows what the store held, from the store or from peers, and whether entries
/// may have lapsed while nobody could read it.
class StoreFreshness
{
public:
    struct Options
    {
        const Runtime::Clock *clock = nullptr;
        /// Entries lapse after three heartbeats of 1.2 s, of which one may have passed when the
        /// store went away; in less than this none has. A reader that dies leaves a gap of 2 s.
        Base::Duration minExpiryOutage = std::chrono::milliseconds(2300);
        /// From one read to the next; where reads failed, longer ones are gaps.
        Base::Duration maxReadInterval = std::chrono::milliseconds(800);
        /// A store that was there for no longer than this between two gaps was not there for most
        /// endpoints: they write each 1.2 s.
        Base::Duration briefRecovery = std::chrono::milliseconds(250);
        /// In which endpoints write their entries again after the store's return: 2 s, and a read.
        Base::Duration rewriteTime = std::chrono::milliseconds(2200);
    };

    explicit StoreFreshness(Options options)
        : m_options(options)
        , m_activeAt(options.clock->now())
    { }

    /// Time to which what is known was true; nothing if nothing is known.
    const std::optional<Base::MonoTime> &asOf() const { return m_asOf; }
    /// When this router has read the store itself.
    const std::optional<Base::MonoTime> &readAt() const { return m_readAt; }
    /// A read has failed since.
    bool hasFailed() const { return m_hasFailed; }

    /// To be called whenever the process does anything. When a message that is read now may have
    /// come: those that came while the process stood still have waited in its sockets, and what
    /// they call new is as old as that.
    Base::MonoTime arrivalTime();
    /// Whether entries may have lapsed of which nothing was known until \a at. Something is known.
    /// \a isReadOverdue says that a read of this router's own waits for longer than the store
    /// takes.
    bool mayHaveExpired(Base::MonoTime asOf, bool isReadOverdue);
    /// What is known was true at \a at; gives back whether entries may have lapsed since before.
    bool advanceTo(Base::MonoTime asOf, bool isReadOverdue);
    /// The same of a read of this router's own.
    bool readSucceeded(bool isReadOverdue);
    void readFailed() { m_hasFailed = true; }
    /// This router reads no more, so its reads say nothing of what comes.
    void clearFailure() { m_hasFailed = false; }

private:
    Options m_options;
    std::optional<Base::MonoTime> m_asOf;
    std::optional<Base::MonoTime> m_readAt;
    bool m_hasFailed = false;
    Base::MonoTime m_availableSince{}; ///< Since the last gap.
    Base::MonoTime m_outageStartedAt{}; ///< Start of the gaps that count as one.
    Base::MonoTime m_activeAt; ///< When the process last did anything.
    Base::MonoTime m_suspendedAt{}; ///< Since when it stood still, the last time.
    Base::MonoTime m_backlogUntil{}; ///< What is read until then may have come meanwhile.
};

} // namespace Lagoonbank::FleetSync
