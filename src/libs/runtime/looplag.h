#pragma once

#include "base/units.h"
#include "runtime/clock.h"

#include <cstddef>
#include <functional>

namespace Lagoonbank::Runtime {

/// How far behind its work a loop is, how long its turns take, and what processor time it gets. The
/// loop tells of its polls; costs three readings of clocks a turn and a system call a second.
class LoopLag
{
public:
    struct Options
    {
        const Clock *clock = nullptr;
        /// Processor time that this thread has got; the machine's figure if null.
        std::function<Base::Duration()> processorTime;
        /// For how long the poll that is under way has waited for something to come.
        std::function<Base::Duration()> waited;
        /// A loop is behind from here on. A VM whose processor time is a quota may stand still for
        /// most of a tenth of a second, which is no backlog; urgent callers wait 300 ms.
        Base::Duration behindAt = std::chrono::milliseconds(200);
        /// And has caught up once it has been less than this behind for as long as calmTime, so
        /// that a line each is written twice a second at most.
        Base::Duration caughtUpAt = std::chrono::milliseconds(50);
        Base::Duration calmTime = std::chrono::seconds(1);
    };
    /// Sums over a span of time.
    struct Figures
    {
        Base::Duration wall{};
        Base::Duration wanted{}; ///< In which the loop had something to do.
        Base::Duration processor{}; ///< Processor time that it got.
        Base::Duration longestTurn{};
        Base::Duration mostBehind{};
        std::size_t turns = 0;

        /// Of the processor time that was wanted; 1 if none was.
        double givenShare() const;
    };

    explicit LoopLag(Options options);

    /// How old the oldest work can be that the loop has at hand now: what it reads in this poll
    /// came after the last look before, or after the wait of this one; and what was put off before
    /// has waited since then.
    Base::Duration behind() const;
    /// The same without what noteWaited() told.
    Base::Duration sinceLookBefore() const;
    bool isBehind() const { return m_isBehind; }

    /// Called at the end of each turn.
    std::function<void(Base::Duration turn)> turned;
    /// Called about once a second with the figures since the last time.
    std::function<void(const Figures &figures)> sampled;
    /// Called when the loop begins to be behind, with the figures of at most the last second.
    std::function<void(const Figures &figures)> fellBehind;
    /// Called when it has caught up, with the figures since it fell behind.
    std::function<void(const Figures &figures)> caughtUp;

    /// Work is taken up that was put off in an earlier turn.
    void noteWaited(Base::Duration waited);

    /// For the loop.
    void pollBegins(bool mayWait);
    void pollEnded(Base::Duration waited);
    void turnEnded();

private:
    Base::MonoTime oldestSince(Base::MonoTime looked, bool hasWaited) const;
    void sample(Base::MonoTime now);
    void judge(Base::MonoTime now, Base::Duration most);

    Options m_options;
    Base::MonoTime m_beganAt; ///< Of the poll under way, or the last one.
    Base::MonoTime m_lookedAt; ///< When the last poll had ended its wait.
    Base::MonoTime m_lookedBefore; ///< The same of the poll before.
    bool m_isPolling = false;
    bool m_mayWait = false;
    bool m_hasWaited = false;
    Base::Duration m_turn{}; ///< Of the turn under way, without its wait.
    Base::Duration m_mostInTurn{};
    Base::Duration m_waitedInTurn{}; ///< The longest that noteWaited() told.
    Base::Duration m_waitedBefore{}; ///< The same in the turn before.
    Figures m_second; ///< Since the last sample.
    Figures m_spell; ///< Since the loop fell behind.
    Base::MonoTime m_sampledAt;
    Base::Duration m_processorAtSample{};
    bool m_isBehind = false;
    Base::MonoTime m_calmSince;
};

} // namespace Lagoonbank::Runtime
