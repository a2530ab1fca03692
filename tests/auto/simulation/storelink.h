#pragma once

#include "auto/simulation/randomsource.h"
#include "auto/simulation/simulatedstore.h"

#include <functional>
#include <map>
#include <memory>

namespace Simulation {

/// What is wrong on the way of calls to the store. Counts, since faults may overlap.
struct StoreFaults
{
    int refuses = 0; ///< Calls are answered that nothing was done.
    int silent = 0; ///< Calls get no answer and do nothing.
    int losesAnswers = 0; ///< Every other answer is lost after the call took effect.
    int slow = 0; ///< Answers take up to `slowest`.

    bool isAny() const { return refuses + silent + losesAnswers + slow > 0; }
};

/// One run of a router's calls to the store, with their limits of time; see Platform::Store.
class StoreLink
{
public:
    struct Options
    {
        SimulatedStore *store = nullptr;
        const StoreFaults *sharedFaults = nullptr; ///< Trouble of the store.
        const StoreFaults *routerFaults = nullptr; ///< Trouble for this router alone.
        Lagoonbank::Runtime::TimerQueue *worldTimers = nullptr;
        Lagoonbank::Runtime::TimerQueue *timers = nullptr; ///< The router's.
        /// Runs something in the router, now or when it is thawed.
        std::function<void(std::function<void()>)> post;
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
    /// A record was written: reads that wait for it are answered.
    void wake(Topic topic);

private:
    using Answer = std::function<void()>; ///< Hands itself over to the caller.
    struct Call
    {
        Topic topic = Topic::Configuration;
        Lagoonbank::Base::Duration wait{};
        /// Done at the store; nothing if the call has to wait, which it need not when it is last.
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
        return m_options.sharedFaults->refuses + m_options.routerFaults->refuses > 0;
    }
    bool isSilent() const
    {
        return m_options.sharedFaults->silent + m_options.routerFaults->silent > 0;
    }

    Options m_options;
    RandomSource m_random;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, Call> m_calls;
    bool m_usesConnectTimeout = false; ///< Since a call was lost.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Simulation
