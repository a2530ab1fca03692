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

/// Simulates one router with a quarter of a core in front of engines with sufficient capacity, on a
/// virtual clock and without a network. The router processes one piece of work at a time, while new
/// requests remain unread. Events of running answers are processed before new requests, and these
/// in the order of their arrival. When a caller closes its connection, the router reads that only
/// after the request, so the model shows what admission control achieves without that signal.
/// Callers leave at their timeout, which the router knows. A refused caller retries once after its
/// retry-after time; callers of the first workspace first retry several times immediately.
///
/// The costs are those of a quarter core. On a whole core, `bm_refusal` takes up to 20 us for a
/// plain answer and 11 us for a refusal. Admitting a stream with a prompt, a new connection and its
/// log lines is assumed to take 50 us of it, and forwarding each of its dozen events, a read and a
/// write, 30 us. The router's capacity therefore is about 600 streams per second.
class SlowRouterModel
{
public:
    struct Kind
    {
        std::string name;
        int priority = 0;
        double weight = 1; ///< Relative frequency of its requests.
        double target = 0.3; ///< Target latency of the first event, in seconds.
        double timeout = 1; ///< Timeout of the callers, in seconds.
    };
    struct Options
    {
        std::vector<Kind> kinds;
        double load = 1; ///< Arrival rate relative to the router's capacity.
        double burstLoadFactor = 1; ///< Factor applied to the load from second 4 to 12.
        int workspaces = 10;
        /// Requests of the first workspace as a multiple of each other workspace's.
        double firstWorkspaceRequestFactor = 1;
        int immediateRetries = 0; ///< Immediate retries of the first workspace's callers.
        /// Seconds for which the router does nothing, starting at second 6.
        double stallSeconds = 0;
        bool isControlled = true;
        /// Whether the router knows how long a request was unread, and refuses one that was unread
        /// for its caller's whole timeout.
        bool isAgeKnown = true;
        Lagoonbank::Gateway::BacklogControl::Options control;
        double seconds = 16;
        unsigned seed = 7;
    };
    struct Tally
    {
        int callers = 0; ///< Each caller counts once, whatever its number of attempts.
        int inTime = 0;
        int late = 0;
        int abandoned = 0; ///< Callers that left before their answer began.
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
        if (m_options.stallSeconds > 0)
            at(6, [this] { m_busyUntil = std::max(m_busyUntil, m_now + m_options.stallSeconds); });
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
    /// Requests forwarded more than half a second after their callers had left.
    int sentForCallersWhoLeft() const { return m_sentForCallersWhoLeft; }
    int admitted() const { return m_admitted; }
    int finished() const { return m_finished; } ///< Admitted requests that were answered in full.
    int refusals() const { return m_refusals; }
    /// The last time, in seconds, at which a request had been unread for longer than backlogDelay.
    double lastBacklogTime() const { return m_lastBacklogTime; }
    double maxDelay() const { return m_maxDelay; }

    /// Age, in seconds, from which an unread request counts for lastBacklogTime().
    static constexpr double backlogDelay = 0.2;

private:
    static constexpr int eventsOfAnswer = 12;
    static constexpr double admissionCost = 200e-6;
    static constexpr double eventCost = 120e-6;
    static constexpr double refusalCost = 46e-6;
    static constexpr double engineLatency = 0.08;
    static constexpr double eventPause = 0.08;
    static constexpr double answerCost = admissionCost + eventsOfAnswer * eventCost;

    struct Caller
    {
        std::size_t kind = 0;
        int workspace = 0;
        double arrivedAt = 0; ///< Time of the first attempt.
        int attempts = 0;
        bool hasBegun = false;
        bool hasLeft = false;
    };
    using CallerPtr = std::shared_ptr<Caller>;
    struct Unread
    {
        CallerPtr caller;
        double arrivedAt = 0;
    };
    struct Event
    {
        double at = 0;
        long sequenceNumber = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : sequenceNumber > other.sequenceNumber;
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
            all.abandoned += tally.abandoned;
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
        m_events.push({time, ++m_lastSequenceNumber, std::move(run)});
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
        const double rate = m_options.load * (isBurst ? m_options.burstLoadFactor : 1) / answerCost;
        after(std::exponential_distribution<double>(rate)(m_random), [this] {
            if (m_now > m_options.seconds)
                return;
            addCaller();
            scheduleNext();
        });
    }
    void addCaller()
    {
        auto caller = std::make_shared<Caller>();
        std::vector<double> weights;
        for (const Kind &kind : m_options.kinds)
            weights.push_back(kind.weight);
        caller->kind =
            std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
        std::uniform_real_distribution<double> part(
            0, m_options.workspaces - 1 + m_options.firstWorkspaceRequestFactor);
        caller->workspace = static_cast<int>(
            std::max(0.0, part(m_random) - m_options.firstWorkspaceRequestFactor + 1));
        caller->arrivedAt = m_now;
        count(*caller, &Tally::callers);
        after(m_options.kinds[caller->kind].timeout, [this, caller] { leave(*caller); });
        arrive(caller);
    }
    void leave(Caller &caller)
    {
        if (caller.hasBegun || caller.hasLeft)
            return;
        caller.hasLeft = true;
        count(caller, &Tally::abandoned);
    }
    void arrive(const CallerPtr &caller)
    {
        if (caller->hasLeft)
            return;
        ++caller->attempts;
        m_unread.push_back({caller, m_now});
        work();
    }

    /// Starts the next piece of work if none is in progress.
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
        if (!m_eventQueue.empty()) {
            const auto pass = m_eventQueue.front();
            m_eventQueue.pop_front();
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
        const double delay = m_now - request.arrivedAt;
        m_maxDelay = std::max(m_maxDelay, delay);
        if (delay > backlogDelay)
            m_lastBacklogTime = m_now;
        const Kind &kind = m_options.kinds[request.caller->kind];
        const Lagoonbank::Gateway::AdmissionRequest admissionRequest{
            .workspace =
                Lagoonbank::Base::WorkspaceId("w" + std::to_string(request.caller->workspace)),
            .urgency = {.priority = kind.priority},
            .targetLatency = duration(kind.target)};
        const double leftAt = request.caller->arrivedAt + kind.timeout;
        const bool isExpired = m_options.isControlled && m_options.isAgeKnown && m_now >= leftAt;
        const bool isAdmitted = !m_options.isControlled
            || (m_control.admits(admissionRequest, duration(delay), timeOf(m_now)) && !isExpired);
        if (!isAdmitted) {
            ++m_refusals;
            const double wait = Lagoonbank::Base::toSeconds(m_control.retryAfter(duration(delay)));
            const CallerPtr caller = request.caller;
            after(refusalCost, [this, caller, wait] { refused(caller, wait); });
            return refusalCost;
        }
        ++m_admitted;
        if (request.caller->hasLeft && m_now > leftAt + 0.5)
            ++m_sentForCallersWhoLeft;
        for (int i = 0; i < eventsOfAnswer; ++i) {
            after(admissionCost + engineLatency + i * eventPause,
                  [this, caller = request.caller, i] {
                      m_eventQueue.emplace_back([this, caller, i] { pass(*caller, i); });
                      work();
                  });
        }
        return admissionCost;
    }
    void refused(const CallerPtr &caller, double wait)
    {
        const bool isImmediate =
            caller->workspace == 0 && caller->attempts <= m_options.immediateRetries;
        if (caller->hasLeft)
            return;
        if (!isImmediate
            && caller->attempts > 1 + m_options.immediateRetries * (caller->workspace == 0)) {
            caller->hasLeft = true;
            count(*caller, &Tally::refused);
            return;
        }
        after(isImmediate ? 0.005 : wait, [this, caller] { arrive(caller); });
    }
    /// Handles an event of the answer to \a caller, which is passed on to it.
    void pass(Caller &caller, int number)
    {
        if (number + 1 == eventsOfAnswer)
            ++m_finished;
        if (number > 0 || caller.hasLeft || caller.hasBegun)
            return;
        caller.hasBegun = true;
        const bool isInTime = m_now - caller.arrivedAt <= m_options.kinds[caller.kind].target;
        count(caller, isInTime ? &Tally::inTime : &Tally::late);
    }

    Options m_options;
    std::mt19937_64 m_random;
    Lagoonbank::Gateway::BacklogControl m_control;
    double m_now = 0;
    long m_lastSequenceNumber = 0;
    std::priority_queue<Event> m_events;
    std::deque<std::function<void()>> m_eventQueue; ///< Unprocessed events of running answers.
    std::deque<Unread> m_unread;
    bool m_isWorking = false;
    double m_busyUntil = 0;
    int m_sentForCallersWhoLeft = 0;
    int m_admitted = 0;
    int m_finished = 0;
    int m_refusals = 0;
    double m_lastBacklogTime = 0;
    double m_maxDelay = 0;
    std::map<std::string, Tally> m_byKind;
    std::map<int, Tally> m_byWorkspace;
};
