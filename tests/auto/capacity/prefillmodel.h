#pragma once

#include "auto/capacity/prefillworkload.h"
#include "capacity/firsteventforecast.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Lagoonbank::Test {

/// Simulates the engines that are left in deployment A after the loss of four fifths, on a virtual
/// clock and without a network. Engines interleave chunks of prompts with decode steps and keep
/// the prompts that requests share. At the start each engine has cached the prompts whose home it
/// was before the loss, and all streams of the lost engines are sent again.
class PrefillModel
{
public:
    using Duration = Base::Duration;
    using MonoTime = Base::MonoTime;

    enum class Bound {
        None, ///< All requests are sent to the home of their prompt.
        InFlight, ///< Limits the requests in flight at an endpoint.
        QueuedPrefill ///< Limits the slots and the time of the queued prefill.
    };
    struct Options
    {
        Bound bound = Bound::None;
        int maxInFlight = 64;
        /// Whether requests that no endpoint takes wait at the router, most urgent first.
        bool waitsAtRouter = false;
        /// Number of endpoints, from the home on, that are tried.
        int places = 1;
        int routers = 1;
        /// Whether routers hear of prompts that others send, and after what time.
        std::optional<Duration> announcementDelay = Duration(0);
        /// Engine that starts no prefill for the whole time; negative for none.
        int frozenEngine = -1;
        std::uint64_t seed = 1;
    };
    using Kind = PrefillWorkload::Kind;
    struct Tally
    {
        int arrived = 0;
        int inTime = 0;
        int late = 0; ///< Answered late, or abandoned by the caller after it was sent.
        int refused = 0;
        /// Tokens of shared prompts that were prefilled within the previous 10 s as well.
        std::int64_t tokensAgain = 0;
        std::int64_t tokens = 0; ///< Prefilled.

        Tally &operator+=(const Tally &other)
        {
            arrived += other.arrived;
            inTime += other.inTime;
            late += other.late;
            refused += other.refused;
            tokensAgain += other.tokensAgain;
            tokens += other.tokens;
            return *this;
        }
    };
    static constexpr std::size_t kindCount = PrefillWorkload::kindCount;
    using Result = std::array<Tally, kindCount>; ///< In the order of urgency.

    static const std::array<Kind, kindCount> &kinds() { return PrefillWorkload::kinds(); }

    explicit PrefillModel(const Options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_engines(engineCount)
        , m_routers(static_cast<std::size_t>(options.routers))
    {
        for (int kind = 0; kind < static_cast<int>(kindCount); ++kind)
            for (int prompt = 0; prompt < promptsPerKind; ++prompt)
                addPrompt({kind, prompt});
    }

    Result run()
    {
        sendLostStreams();
        while (m_now < start + length || !isIdle()) {
            m_now += tick;
            announce();
            if (m_now < start + length)
                arrive();
            if ((m_now - start) % retryInterval == Duration(0))
                retryWaiting();
            for (std::size_t engine = 0; engine < engineCount; ++engine)
                work(engine);
        }
        return m_result;
    }

private:
    using PromptId = std::pair<int, int>; ///< Kind, number.

    static constexpr MonoTime start{std::chrono::seconds(100)};
    static constexpr Duration length = std::chrono::seconds(24);
    /// Time within which routers notice that streams are lost.
    static constexpr Duration lossTime = std::chrono::milliseconds(500);
    static constexpr Duration tick = std::chrono::milliseconds(1);
    static constexpr Duration retryInterval = std::chrono::milliseconds(5);
    static constexpr Duration network = std::chrono::milliseconds(2);
    static constexpr std::size_t engineCount = 12;
    static constexpr int slots = 64;
    static constexpr std::int64_t memory = 416'734; ///< Tokens.
    static constexpr double tokensPerMs = 62;
    static constexpr std::int64_t chunk = 2048; ///< Tokens.
    static constexpr int tokensPerEvent = 8;
    /// The shared prompts of all kinds have 4.1 million tokens.
    static constexpr int promptsPerKind = 309;
    /// Share of the slots that requests may fill once they are late.
    static constexpr double lateShare = 0.8;
    static constexpr Duration longestPause = std::chrono::milliseconds(500);

    struct Request
    {
        std::uint64_t id = 0;
        int kind = 0;
        PromptId prompt;
        std::size_t router = 0;
        MonoTime arrivedAt;
        std::int64_t toPrefill = 0;
        std::int64_t prefilled = 0;
        bool hasBegun = false; ///< Its prefill has begun.
        int tokensLeft = 0;
        std::optional<MonoTime> lastEventAt;
        bool isLate = false;
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Engine
    {
        std::list<PromptId> cached; ///< Most recently used first.
        std::map<PromptId, std::list<PromptId>::iterator> places;
        std::map<PromptId, int> users; ///< Requests at the engine by prompt.
        std::int64_t cachedTokens = 0;
        std::int64_t ownTokens = 0; ///< Of running requests.
        std::deque<RequestPtr> queued; ///< Wait for prefill or a slot.
        std::vector<RequestPtr> running;
        MonoTime stepEndsAt = start;
        std::int64_t stepTokens = 0; ///< Prompt tokens of the current step.

        int inFlight() const { return static_cast<int>(queued.size() + running.size()); }
    };
    struct Router
    {
        Capacity::ServicePrefill service;
        std::array<Capacity::FirstEventForecast, engineCount> forecasts;
        std::map<std::tuple<int, MonoTime, std::uint64_t>, RequestPtr> waiting;
    };
    struct Announcement
    {
        MonoTime at;
        std::size_t sender = 0;
        std::size_t engine = 0;
        Base::Tokens uncached;
    };

    static const Kind &kindOf(const Request &request)
    {
        return kinds()[static_cast<std::size_t>(request.kind)];
    }
    Tally &tally(const Request &request)
    {
        return m_result[static_cast<std::size_t>(request.kind)];
    }
    /// Time for which the caller of a stream waits for its first event.
    static Duration callersWait(const Kind &kind)
    {
        return std::min(
            kind.timeout,
            std::max({Duration(std::chrono::seconds(2)), 4 * kind.target, 8 * longestPause}));
    }
    static std::int64_t ownSize(const Request &request)
    {
        return kindOf(request).own + kindOf(request).events * tokensPerEvent;
    }

    /// Whether no request waits or runs. A frozen engine's requests are abandoned by their callers.
    bool isIdle() const
    {
        return std::ranges::all_of(m_routers, [](const Router &it) { return it.waiting.empty(); })
            && std::ranges::all_of(m_engines, [](const Engine &it) { return it.inFlight() == 0; });
    }

    /// Chooses the order of engines for a prompt. One in five prompts is cached at its first.
    void addPrompt(const PromptId &prompt)
    {
        std::vector<std::size_t> order(engineCount);
        std::iota(order.begin(), order.end(), std::size_t(0));
        std::shuffle(order.begin(), order.end(), m_random);
        if (m_random() % 5 == 0)
            cache(m_engines[order.front()], prompt);
        m_orders[prompt] = std::move(order);
    }

    RequestPtr newRequest(int kind)
    {
        auto request = std::make_shared<Request>();
        request->id = ++m_lastId;
        request->kind = kind;
        request->prompt = {kind, static_cast<int>(m_random() % promptsPerKind)};
        request->router = m_random() % m_routers.size();
        request->arrivedAt = m_now;
        request->tokensLeft = kindOf(*request).events * tokensPerEvent;
        ++tally(*request).arrived;
        return request;
    }

    /// The lost engines had four fifths of the streams, whose answers take 5 ms per token. Their
    /// callers' time starts anew, as they have received events.
    void sendLostStreams()
    {
        for (int kind = 0; kind < static_cast<int>(kindCount); ++kind) {
            const Kind &it = kinds()[static_cast<std::size_t>(kind)];
            const double seconds = it.events * tokensPerEvent * 0.005;
            for (int i = 0; i < 0.8 * it.requestsPerSecond * seconds; ++i)
                m_lostStreams.emplace(start + lossTime * static_cast<int>(m_random() % 1000) / 1000,
                                      kind);
        }
    }

    void arrive()
    {
        for (; !m_lostStreams.empty() && m_lostStreams.begin()->first <= m_now;
             m_lostStreams.erase(m_lostStreams.begin()))
            place(newRequest(m_lostStreams.begin()->second));
        for (int kind = 0; kind < static_cast<int>(kindCount); ++kind) {
            const double rate = kinds()[static_cast<std::size_t>(kind)].requestsPerSecond;
            std::poisson_distribution<int> count(rate * Base::toSeconds(tick));
            for (int i = count(m_random); i > 0; --i)
                place(newRequest(kind));
        }
    }

    void place(const RequestPtr &request)
    {
        Router &router = m_routers[request->router];
        router.service.kinds.requestArrived(
            {.priority = kindOf(*request).priority}, kindOf(*request).target,
            uncached(*request, m_orders[request->prompt].front()), m_now);
        if (tryPlace(request))
            return;
        if (m_options.waitsAtRouter)
            router.waiting[{kindOf(*request).priority, request->arrivedAt, request->id}] = request;
        else
            ++tally(*request).refused;
    }

    bool tryPlace(const RequestPtr &request)
    {
        const std::vector<std::size_t> &order = m_orders[request->prompt];
        for (int place = 0; place < m_options.places; ++place) {
            if (!admits(*request, order[static_cast<std::size_t>(place)]))
                continue;
            send(request, order[static_cast<std::size_t>(place)]);
            return true;
        }
        return false;
    }

    void retryWaiting()
    {
        for (Router &router : m_routers) {
            for (auto it = router.waiting.begin(); it != router.waiting.end();) {
                const RequestPtr request = it->second;
                const bool gaveUp = m_now - request->arrivedAt >= callersWait(kindOf(*request));
                tally(*request).refused += gaveUp ? 1 : 0;
                it = gaveUp || tryPlace(request) ? router.waiting.erase(it) : std::next(it);
            }
        }
    }

    Base::Tokens uncached(const Request &request, std::size_t engine) const
    {
        const Kind &kind = kindOf(request);
        const bool isShared = m_engines[engine].places.contains(request.prompt)
            || m_engines[engine].users.contains(request.prompt);
        return Base::Tokens(kind.own + (isShared ? 0 : kind.shared));
    }

    bool admits(const Request &request, std::size_t engine) const
    {
        if (m_options.bound == Bound::None)
            return true;
        const Kind &kind = kindOf(request);
        const bool isLate = m_now - request.arrivedAt >= kind.target;
        if (m_engines[engine].inFlight() >= m_options.maxInFlight * (isLate ? lateShare : 1))
            return false;
        const Router &router = m_routers[request.router];
        return m_options.bound == Bound::InFlight
            || router.forecasts[engine].mayTake({.urgency = {.priority = kind.priority},
                                                 .target = kind.target,
                                                 .uncached = uncached(request, engine),
                                                 .waited = m_now - request.arrivedAt},
                                                {.slowdown = 1, .network = 2 * network},
                                                router.service, m_now);
    }

    void send(const RequestPtr &request, std::size_t engine)
    {
        const Base::Tokens tokens = uncached(*request, engine);
        Router &router = m_routers[request->router];
        router.forecasts[engine].requestSent(
            request->id, tokens, {.slowdown = 1, .network = 2 * network}, router.service, m_now);
        if (m_options.announcementDelay && m_routers.size() > 1)
            m_announcements.push_back({.at = m_now + *m_options.announcementDelay,
                                       .sender = request->router,
                                       .engine = engine,
                                       .uncached = tokens});
        ++m_engines[engine].users[request->prompt];
        m_engines[engine].queued.push_back(request);
    }

    void announce()
    {
        for (; !m_announcements.empty() && m_announcements.front().at <= m_now;
             m_announcements.pop_front()) {
            const Announcement &announcement = m_announcements.front();
            for (std::size_t i = 0; i < m_routers.size(); ++i)
                if (i != announcement.sender)
                    m_routers[i].forecasts[announcement.engine].peerPromptAnnounced(
                        announcement.uncached, m_now);
        }
    }

    /// Completes the current step of an engine and starts the next one.
    void work(std::size_t index)
    {
        Engine &engine = m_engines[index];
        if (m_now < engine.stepEndsAt || static_cast<int>(index) == m_options.frozenEngine)
            return abandonQueued(index);
        decode(index);
        prefill(engine);
        abandonQueued(index);
        startStep(engine);
    }

    void startStep(Engine &engine)
    {
        engine.stepTokens = 0;
        if (!engine.queued.empty() && hasRoom(engine, *engine.queued.front())) {
            Request &request = *engine.queued.front();
            if (!request.hasBegun)
                beginPrefill(engine, request);
            engine.stepTokens = std::min(chunk, request.toPrefill - request.prefilled);
        }
        if (engine.stepTokens == 0 && engine.running.empty())
            return;
        const double decodeMs = engine.running.empty()
            ? 0
            : 4 + 2.0 * static_cast<double>(engine.running.size()) / slots;
        const double ms = static_cast<double>(engine.stepTokens) / tokensPerMs + decodeMs;
        engine.stepEndsAt = m_now + Base::fromSeconds(ms / 1000);
    }

    /// Whether the request has a slot and memory.
    static bool hasRoom(const Engine &engine, const Request &request)
    {
        std::int64_t pinned = engine.ownTokens + ownSize(request);
        for (const auto &[prompt, count] : engine.users)
            pinned += kinds()[static_cast<std::size_t>(prompt.first)].shared;
        return static_cast<int>(engine.running.size()) < slots
            && (pinned <= memory || engine.running.empty());
    }

    void beginPrefill(const Engine &engine, Request &request)
    {
        const Kind &kind = kindOf(request);
        request.hasBegun = true;
        const bool isCached = engine.places.contains(request.prompt);
        request.toPrefill = kind.own + (isCached ? 0 : kind.shared);
        tally(request).tokens += request.toPrefill;
        if (isCached)
            return;
        auto &last = m_prefilledAt[request.prompt];
        if (last && m_now - *last < std::chrono::seconds(10))
            tally(request).tokensAgain += kind.shared;
        last = m_now;
    }

    void prefill(Engine &engine)
    {
        if (engine.stepTokens == 0)
            return;
        const RequestPtr request = engine.queued.front();
        request->prefilled += engine.stepTokens;
        engine.stepTokens = 0;
        if (request->prefilled < request->toPrefill)
            return;
        engine.queued.pop_front();
        engine.ownTokens += ownSize(*request);
        cache(engine, request->prompt);
        engine.running.push_back(request);
    }

    void decode(std::size_t index)
    {
        for (const RequestPtr &request : m_engines[index].running)
            decodeToken(index, *request);
        std::erase_if(m_engines[index].running, [&](const RequestPtr &request) {
            const bool isGone = m_now - request->arrivedAt >= kindOf(*request).timeout;
            if (request->tokensLeft > 0 && !isGone)
                return false;
            const bool isInTime = request->tokensLeft == 0 && !request->isLate;
            ++(isInTime ? tally(*request).inTime : tally(*request).late);
            m_engines[index].ownTokens -= ownSize(*request);
            leave(index, *request);
            return true;
        });
    }

    void decodeToken(std::size_t index, Request &request)
    {
        if (--request.tokensLeft % tokensPerEvent != 0)
            return;
        const MonoTime now = m_now + network;
        if (!request.lastEventAt) {
            Router &router = m_routers[request.router];
            router.forecasts[index].firstEventReceived(request.id, router.service, now);
            request.isLate = now - request.arrivedAt > kindOf(request).target;
        } else if (now - *request.lastEventAt > longestPause) {
            request.isLate = true;
        }
        request.lastEventAt = now;
    }

    /// Removes requests whose callers no longer wait for their first event. A prompt whose prefill
    /// has begun is completed.
    void abandonQueued(std::size_t index)
    {
        std::erase_if(m_engines[index].queued, [&](const RequestPtr &request) {
            if (request->hasBegun || m_now - request->arrivedAt < callersWait(kindOf(*request)))
                return false;
            ++tally(*request).late;
            leave(index, *request);
            return true;
        });
    }

    void leave(std::size_t index, const Request &request)
    {
        m_routers[request.router].forecasts[index].requestEnded(request.id);
        Engine &engine = m_engines[index];
        if (--engine.users[request.prompt] == 0)
            engine.users.erase(request.prompt);
    }

    /// Records the use of a prompt and removes the least recently used ones beyond the memory.
    void cache(Engine &engine, const PromptId &prompt)
    {
        const auto sizeOf = [](const PromptId &id) {
            return kinds()[static_cast<std::size_t>(id.first)].shared;
        };
        if (const auto place = engine.places.find(prompt); place != engine.places.end())
            engine.cached.erase(place->second);
        else
            engine.cachedTokens += sizeOf(prompt);
        engine.cached.push_front(prompt);
        engine.places[prompt] = engine.cached.begin();
        for (auto it = engine.cached.end();
             it != engine.cached.begin() && engine.cachedTokens + engine.ownTokens > memory;) {
            if (engine.users.contains(*--it))
                continue;
            engine.cachedTokens -= sizeOf(*it);
            engine.places.erase(*it);
            it = engine.cached.erase(it);
        }
    }

    Options m_options;
    std::mt19937_64 m_random;
    MonoTime m_now = start;
    std::vector<Engine> m_engines;
    std::vector<Router> m_routers;
    std::map<PromptId, std::vector<std::size_t>> m_orders;
    std::map<PromptId, std::optional<MonoTime>> m_prefilledAt;
    std::deque<Announcement> m_announcements;
    std::multimap<MonoTime, int> m_lostStreams; ///< Kind by the time of the new attempt.
    std::uint64_t m_lastId = 0;
    Result m_result{};
};

} // namespace Lagoonbank::Test
