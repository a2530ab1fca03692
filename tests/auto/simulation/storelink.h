#pragma once

#include "auto/simulation/randomsource.h"
#include "auto/simulation/simulatedstore.h"

#include <functional>
#include <map>
#include <memory>

namespace Simulation {

/// Active faults that affect calls to the store. They are counted, as faults may overlap.
struct StoreFaults
{
    int activeRefusals = 0; ///< Calls fail without effect.
    int activeSilences = 0; ///< Calls have no effect and get no answer.
    int activeAnswerLosses = 0; ///< Half of the answers are lost after the call took effect.
    int activeSlowdowns = 0; ///< Answers take up to 0.9 s.

    bool isAny() const
    {
        return activeRefusals + activeSilences + activeAnswerLosses + activeSlowdowns > 0;
    }
};

/// Calls of a router to the store during one run of its process, with the timeouts of
/// Platform::Store.
class StoreLink
{
public:
    struct Options
    {
        SimulatedStore *store = nullptr;
        const StoreFaults *sharedFaults = nullptr; ///< Faults for all routers.
        const StoreFaults *routerFaults = nullptr; ///< Faults for this router.
        Lagoonbank::Runtime::TimerQueue *worldTimers = nullptr;
        /// Timers of the router, which stop while it is frozen.
        Lagoonbank::Runtime::TimerQueue *timers = nullptr;
        /// Runs a function in the router, now or when it resumes after a freeze.
        std::function<void(std::function<void()>)> post;
        /// Called in the router with the era of each answer, before the answer is passed on.
        std::function<void(Lagoonbank::Base::LogEra era)> answeredInEra;
        std::uint64_t seed = 1;
    };

    explicit StoreLink(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
    { }
    ~StoreLink();
    StoreLink(const StoreLink &) = delete;
    StoreLink &operator=(const StoreLink &) = delete;

    Lagoonbank::KeyedLog::KeyedSource source(Topic topic);
    Lagoonbank::KeyedLog::KeyedWrite write(Topic topic);
    /// Answers waiting reads of the topic after a record was written.
    void wake(Topic topic);

private:
    using Answer = std::function<void()>; ///< Passes the result to the caller.
    struct Call
    {
        Topic topic = Topic::Configuration;
        Lagoonbank::Base::Duration wait{};
        /// Performs the call in the store. Returns null if the call has to wait for a record, which
        /// it does not if \a isWaitOver.
        std::function<Answer(bool isWaitOver)> perform;
        Answer fail;
        bool isWaiting = false;
        Lagoonbank::Runtime::TimerId timeout;
    };

    Lagoonbank::KeyedLog::ReadId start(Call call);
    void cancel(std::uint64_t id);
    void arrive(std::uint64_t id, bool isWaitOver);
    void reply(std::uint64_t id, Answer answer);
    void finish(std::uint64_t id, bool isAnswered, const Answer &answer);
    void after(Lagoonbank::Base::Duration delay, std::function<void()> step);
    bool isRefusing() const
    {
        return m_options.sharedFaults->activeRefusals + m_options.routerFaults->activeRefusals > 0;
    }
    bool isSilent() const
    {
        return m_options.sharedFaults->activeSilences + m_options.routerFaults->activeSilences > 0;
    }

    Options m_options;
    RandomSource m_random;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Call> m_calls;
    bool m_usesConnectTimeout = false; ///< Set when a call got no answer.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Simulation
