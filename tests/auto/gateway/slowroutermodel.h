#pragma once

#include "gateway/backlogcontrol.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/// One router with a quarter of a core before engines that have room for all, on a virtual clock
/// and without a network. It does one piece of work at a time; what comes meanwhile lies unread.
/// Events of answers under way go before new requests, and these go in the order in which they
/// came. A close lies behind the request itself and is not seen before it: what admission alone can
/// do. Callers leave at the end of their patience, which they name; who is refused comes back once
/// when told to, and of the first workspace several times at once.
///
/// Costs are a quarter core's: `bm_refusal` takes up to 20 us of a whole core for a plain
/// answer and 11 us for a refusal. A stream is taken for 50 us, with a prompt, a new connection and
/// its lines (assumed), and each of its dozen events is passed on for 30 us, a read and a write
/// (assumed). So 600 streams a second are all that it can do.
class SlowRouterModel
{
public:
    struct Kind
    {
        std::string name;
        int priority = 0;
        double part = 1; ///< Of the requests.
        double target = 0.3; ///< Seconds to the first event.
        double timeout = 1; ///< Seconds.
    };
    struct Options
    {
        std::vector<Kind> kinds;
        double load = 1; ///< Of what the router can do...
        double burst = 1; ///< ...and times this, from second 4 to 12.
        int workspaces = 10;
        double firstWorkspaceFactor = 1; ///< Times its equal part that the first workspace sends.
        int immediateRetries = 0; ///< Of the callers of that workspace.
        double stall = 0; ///< Seconds at second 6, in which the router does nothing.
        bool isControlled = true;
        /// Of a request that was read, so that one that lay there for as long as its caller waits
        /// is refused.
        bool isAgeKnown = true;
        Lagoonbank::Gateway::BacklogControl::Options control;
        double seconds = 16;
        unsigned seed = 7;
    };
    struct Tally
    {
        int callers = 0; ///< Callers, not tries.
        int inTime = 0;
        int late = 0;
        int left = 0;
        int refused = 0;
        double served() const { return callers > 0 ? double(inTime + late) / callers : 1; }
        double timely() const { return callers > 0 ? double(inTime) / callers : 1; }
    };

    explicit SlowRouterModel(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_control(m_options.control)
    { }

    void run()
    {
        scheduleNext();
        if (m_options.stall > 0)
            at(6, [this] { m_busyUntil = std::max(m_busyUntil, m_now + m_options.stall); });
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
    }

    const Tally &kind(const std::string &name) { return m_byKind[name]; }
    Tally all() const { return sum(m_byKind); }
    const Tally &firstWorkspace() { return m_byWorkspace[0]; }
    Tally otherWorkspaces() const
    {
        auto others = m_byWorkspace;
        others.erase(0);
        return sum(others);
    }
    /// Requests sent on over half a second after their callers had left.
    int sentForCallersWhoLeft() const { return m_sentForGone; }
    int admitted() const { return m_taken; }
    int finished() const { return m_finished; } ///< Of those taken.
    int refusals() const { return m_refusals; }
    /// The last time at which the oldest unread request was older than \a seconds.
    double lastBehind() const { return m_lastBehind; }
    double maxDelay() const { return m_mostDelay; }

    static constexpr double behind = 0.2; ///< Seconds; see lastBehind().

private:
    static constexpr int eventsOfAnswer = 12;
    static constexpr double takeCost = 200e-6;
    static constexpr double eventCost = 120e-6;
    static constexpr double refusalCost = 46e-6;
    static constexpr double engineLatency = 0.08;
    static constexpr double eventPause = 0.08;
    static constexpr double answerCost = takeCost + eventsOfAnswer * eventCost;

    struct Caller
    {
        std::size_t kind = 0;
        int workspace = 0;
        double cameAt = 0; ///< Of the first try.
        int tries = 0;
        bool hasBegun = false;
        bool hasLeft = false;
    };
    using CallerPtr = std::shared_ptr<Caller>;
    struct Unread
    {
        CallerPtr caller;
        double cameAt = 0;
    };
    struct Event
    {
        double at = 0;
        long order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    template<typename Key>
    static Tally sum(const std::map<Key, Tally> &tallies)
    {
        Tally all;
        for (const auto &[key, tally] : tallies) {
            all.callers += tally.callers;
            all.inTime += tally.inTime;
            all.late += tally.late;
            all.left += tally.left;
            all.refused += tally.refused;
        }
        return all;
    }
    static Lagoonbank::Base::MonoTime timeOf(double seconds)
    {
        return Lagoonbank::Base::MonoTime(std::chrono::hours(1)) + duration(seconds);
    }
    static Lagoonbank::Base::Duration duration(double seconds)
    {
        return std::chrono::duration_cast<Lagoonbank::Base::Duration>(
            std::chrono::duration<double>(seconds));
    }
    void at(double time, std::function<void()> run)
    {
        m_events.push({time, ++m_order, std::move(run)});
    }
    void after(double delay, std::function<void()> run) { at(m_now + delay, std::move(run)); }
    void count(const Caller &caller, int Tally::*field)
    {
        ++(m_byKind[m_options.kinds[caller.kind].name].*field);
        ++(m_byWorkspace[caller.workspace].*field);
    }

    void scheduleNext()
    {
        const bool isBurst = m_now >= 4 && m_now < 12;
        const double rate = m_options.load * (isBurst ? m_options.burst : 1) / answerCost;
        after(std::exponential_distribution<double>(rate)(m_random), [this] {
            if (m_now > m_options.seconds)
                return;
            come();
            scheduleNext();
        });
    }
    void come()
    {
        auto caller = std::make_shared<Caller>();
        std::vector<double> parts;
        for (const Kind &kind : m_options.kinds)
            parts.push_back(kind.part);
        caller->kind =
            std::discrete_distribution<std::size_t>(parts.begin(), parts.end())(m_random);
        std::uniform_real_distribution<double> part(
            0, m_options.workspaces - 1 + m_options.firstWorkspaceFactor);
        caller->workspace =
            static_cast<int>(std::max(0.0, part(m_random) - m_options.firstWorkspaceFactor + 1));
        caller->cameAt = m_now;
        count(*caller, &Tally::callers);
        after(m_options.kinds[caller->kind].timeout, [this, caller] { leave(*caller); });
        arrive(caller);
    }
    void leave(Caller &caller)
    {
        if (caller.hasBegun || caller.hasLeft)
            return;
        caller.hasLeft = true;
        count(caller, &Tally::left);
    }
    void arrive(const CallerPtr &caller)
    {
        if (caller->hasLeft)
            return;
        ++caller->tries;
        m_unread.push_back({caller, m_now});
        work();
    }

    /// Does the next piece of work if none is under way.
    void work()
    {
        if (m_isWorking)
            return;
        if (m_now < m_busyUntil) {
            m_isWorking = true;
            at(m_busyUntil, [this] {
                m_isWorking = false;
                work();
            });
            return;
        }
        double cost = 0;
        if (!m_passing.empty()) {
            const auto pass = m_passing.front();
            m_passing.pop_front();
            cost = eventCost;
            pass();
        } else if (!m_unread.empty()) {
            const Unread next = m_unread.front();
            m_unread.pop_front();
            cost = read(next);
        } else {
            return;
        }
        m_isWorking = true;
        after(cost, [this] {
            m_isWorking = false;
            work();
        });
    }
    double read(const Unread &request)
    {
        const double delay = m_now - request.cameAt;
        m_mostDelay = std::max(m_mostDelay, delay);
        if (delay > behind)
            m_lastBehind = m_now;
        const Kind &kind = m_options.kinds[request.caller->kind];
        const Lagoonbank::Gateway::AdmissionRequest admissionRequest{
            .workspace =
                Lagoonbank::Base::WorkspaceId("w" + std::to_string(request.caller->workspace)),
            .urgency = {.priority = kind.priority},
            .targetLatency = duration(kind.target)};
        const double leftAt = request.caller->cameAt + kind.timeout;
        const bool isTooOld = m_options.isControlled && m_options.isAgeKnown && m_now >= leftAt;
        const bool isTaken = !m_options.isControlled
            || (m_control.admits(admissionRequest, duration(delay), timeOf(m_now)) && !isTooOld);
        if (!isTaken) {
            ++m_refusals;
            const double wait = Lagoonbank::Base::toSeconds(m_control.retryAfter(duration(delay)));
            const CallerPtr caller = request.caller;
            after(refusalCost, [this, caller, wait] { refused(caller, wait); });
            return refusalCost;
        }
        ++m_taken;
        if (request.caller->hasLeft && m_now > leftAt + 0.5)
            ++m_sentForGone;
        for (int i = 0; i < eventsOfAnswer; ++i) {
            after(takeCost + engineLatency + i * eventPause, [this, caller = request.caller, i] {
                m_passing.emplace_back([this, caller, i] { pass(*caller, i); });
                work();
            });
        }
        return takeCost;
    }
    void refused(const CallerPtr &caller, double wait)
    {
        const bool isAtOnce = caller->workspace == 0 && caller->tries <= m_options.immediateRetries;
        if (caller->hasLeft)
            return;
        if (!isAtOnce
            && caller->tries > 1 + m_options.immediateRetries * (caller->workspace == 0)) {
            caller->hasLeft = true;
            count(*caller, &Tally::refused);
            return;
        }
        after(isAtOnce ? 0.005 : wait, [this, caller] { arrive(caller); });
    }
    void pass(Caller &caller, int number)
    {
        if (number + 1 == eventsOfAnswer)
            ++m_finished;
        if (number > 0 || caller.hasLeft || caller.hasBegun)
            return;
        caller.hasBegun = true;
        const bool isInTime = m_now - caller.cameAt <= m_options.kinds[caller.kind].target;
        count(caller, isInTime ? &Tally::inTime : &Tally::late);
    }

    Options m_options;
    std::mt19937_64 m_random;
    Lagoonbank::Gateway::BacklogControl m_control;
    double m_now = 0;
    long m_order = 0;
    std::priority_queue<Event> m_events;
    std::deque<std::function<void()>> m_passing; ///< Events of answers under way.
    std::deque<Unread> m_unread;
    bool m_isWorking = false;
    double m_busyUntil = 0;
    int m_sentForGone = 0;
    int m_taken = 0;
    int m_finished = 0;
    int m_refusals = 0;
    double m_lastBehind = 0;
    double m_mostDelay = 0;
    std::map<std::string, Tally> m_byKind;
    std::map<int, Tally> m_byWorkspace;
};
