#pragma once

#include "capacity/kvcachebudget.h"
#include "capacity/requestsizemeans.h"
#include "capacity/tokenreservations.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <iterator>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Lagoonbank::Test {

/// Large and small requests compete for the KV cache of few engines. Routers without a network
/// between them place the requests by Capacity::KvCacheBudget; load reports come with answers.
class MemoryModel
{
public:
    struct Options
    {
        int routers = 3;
        int engines = 4;
        double slots = 256;
        std::int64_t engineTokens = 300'000;
        double requestsPerSecond = 500;
        int largePrompts = 34; ///< Number of different shared prompts of large requests.
        double largePromptTokens = 10'512; ///< Their mean length.
        double sharedShare =
            Capacity::RequestSizeMeans::Options().sharedShare; ///< See RequestSizeMeans::Options.
        bool usesReservations = true;
        /// Whether routers announce to each other which engines hold prompts, as up to 24 do.
        bool announcesPrompts = true;
        Capacity::TokenReservations::Options reservations;
        Capacity::KvCacheBudget::Options budget;
        Base::Duration reportDelay = std::chrono::milliseconds(30);
        Base::Duration maximumWait = std::chrono::milliseconds(250);
        Base::Duration runTime = std::chrono::seconds(13);
        /// Time after the start of all routers that is not measured, until they know the prompts.
        Base::Duration warmupTime = std::chrono::seconds(3);
    };
    struct Result
    {
        double served = 0; ///< Share of all requests.
        double largestServed = 0; ///< Lowest share of the largest tenth of a kind.
        double largestRatio = 0; ///< Lowest ratio of that share to the one of its kind.
        double maximumUse = 0; ///< Greatest use of an engine relative to its memory.
        double exceedingSends = 0; ///< Share of sends that exceeded the memory of an engine.
    };

    explicit MemoryModel(const Options &options)
        : m_options(options)
        , m_engines(static_cast<std::size_t>(options.engines))
    {
        for (int i = 0; i < options.routers; ++i)
            m_routers.emplace_back(options);
    }

    Result run()
    {
        constexpr Base::Duration step = std::chrono::milliseconds(5);
        std::poisson_distribution<int> arrivals(m_options.requestsPerSecond
                                                * Base::toSeconds(step));
        const Base::MonoTime end = m_now + m_options.runTime;
        m_measuredFrom = m_now + m_options.warmupTime;
        for (; m_now < end; m_now += step) {
            endRequests();
            for (Router &router : m_routers)
                retryWaiting(router);
            for (int i = arrivals(m_random); i > 0; --i)
                arrive();
        }
        return result();
    }

private:
    static constexpr int kindCount = 2;
    struct Request
    {
        std::uint64_t id = 0;
        std::size_t kind = 0;
        Capacity::RequestSize size;
        Base::Duration duration{};
        Base::MonoTime arrivedAt;
    };
    struct Running
    {
        Request request;
        std::size_t router = 0;
        Base::MonoTime endsAt;
    };
    struct Engine
    {
        std::vector<Running> running;
        std::map<std::uint64_t, int> prompts;
        std::int64_t tokens = 0;
    };
    struct View
    {
        Capacity::KvCacheBudget budget;
        double reported = 0;
        double ownAtReport = 0;
        std::map<std::uint64_t, Base::Tokens> knownPrompts;

        /// Known prompts beyond those of this router's requests, including \a size.
        Base::Tokens othersPrompts(const Capacity::RequestSize &size) const
        {
            Base::Tokens tokens;
            for (const auto &[prompt, length] : knownPrompts)
                tokens += length;
            if (knownPrompts.contains(size.prompt))
                tokens -= budget.addedTokens(size) - size.own;
            return tokens - budget.sharedTokens();
        }
    };
    struct Router
    {
        explicit Router(const Options &options)
            : views(static_cast<std::size_t>(options.engines),
                    View{.budget = Capacity::KvCacheBudget(options.budget)})
            , means(Capacity::RequestSizeMeans::Options{.sharedShare = options.sharedShare})
            , reservations(options.reservations)
        { }
        std::vector<View> views;
        Capacity::RequestSizeMeans means;
        Capacity::TokenReservations reservations;
        std::deque<Request> waiting;
    };
    struct Outcome
    {
        std::size_t kind = 0;
        std::int64_t tokens = 0;
        bool isServed = false;
    };

    Request makeRequest()
    {
        const bool isLarge = std::uniform_real_distribution<double>(0, 1)(m_random) < 0.37;
        const double shared = isLarge ? m_options.largePromptTokens : 699;
        const double own = isLarge ? 1'684 : 418;
        const std::uint64_t prompt = std::uniform_int_distribution<std::uint64_t>(
            1, isLarge ? static_cast<std::uint64_t>(m_options.largePrompts) : 73)(m_random);
        std::mt19937_64 promptRandom(prompt * 2 + (isLarge ? 1 : 0));
        const auto tokens = [](double mean, auto &random) {
            std::lognormal_distribution<double> size(0, 0.6);
            return Base::Tokens(
                static_cast<std::int64_t>(std::min(3 * mean, 0.84 * mean * size(random))));
        };
        return {.id = ++m_lastId,
                .kind = isLarge ? 1U : 0U,
                .size = {.prompt = prompt * 2 + (isLarge ? 1 : 0),
                         .shared = tokens(shared, promptRandom),
                         .own = tokens(own, m_random)},
                .duration = std::chrono::milliseconds(isLarge ? 1200 : 900),
                .arrivedAt = m_now};
    }

    void arrive()
    {
        std::uniform_int_distribution<std::size_t> which(0, m_routers.size() - 1);
        Router &router = m_routers[which(m_random)];
        const Request request = makeRequest();
        router.means.record(request.kind, request.size);
        if (!tryPlace(router, request))
            router.waiting.push_back(request);
    }

    void retryWaiting(Router &router)
    {
        std::deque<Request> waiting;
        waiting.swap(router.waiting);
        for (const Request &request : waiting) {
            if (tryPlace(router, request))
                continue;
            if (m_now - request.arrivedAt < m_options.maximumWait) {
                router.waiting.push_back(request);
                continue;
            }
            router.reservations.release(request.id);
            if (m_now >= m_measuredFrom)
                m_outcomes.push_back({request.kind, request.size.total().value(), false});
        }
    }

    static std::int64_t added(const Engine &engine, const Request &request)
    {
        const bool isPresent = engine.prompts.contains(request.size.prompt);
        return request.size.own.value() + (isPresent ? 0 : request.size.shared.value());
    }

    /// Spreads prompts of each kind evenly over the engines.
    static std::size_t homeOf(std::uint64_t prompt) { return std::mt19937_64(prompt)() >> 32; }

    bool tryPlace(Router &router, const Request &request)
    {
        std::optional<std::size_t> best;
        double lowest = std::numeric_limits<double>::max();
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            const std::size_t engine = (homeOf(request.size.prompt) + i) % m_engines.size();
            const View &view = router.views[engine];
            const double others = std::max(0.0, view.reported - view.ownAtReport);
            const Base::Tokens memory = Base::Tokens(m_options.engineTokens)
                - router.reservations.reservedTokens(engine, request.id, 0, m_now);
            const double mean = router.means.othersTokens(others, view.othersPrompts(request.size));
            const bool hasSlot = others + view.budget.requestCount() < m_options.slots;
            if (hasSlot && view.budget.admits(request.size, memory, others, mean)) {
                send(router, engine, request);
                return true;
            }
            const double excess = view.budget.excessTokens(request.size, memory, others, mean);
            if (hasSlot && excess < lowest) {
                lowest = excess;
                best = engine;
            }
        }
        const bool isDue = router.reservations.isDue(m_now - request.arrivedAt, targetLatency);
        if (m_options.usesReservations && best && isDue)
            reserve(router, *best, request);
        return false;
    }

    void reserve(Router &router, std::size_t engine, const Request &request)
    {
        router.reservations.reserve(
            engine,
            {.request = request.id,
             .tokens = router.views[engine].budget.addedTokens(request.size),
             .madeAt = m_now},
            Base::Tokens(m_options.engineTokens));
    }

    void send(Router &router, std::size_t index, const Request &request)
    {
        Engine &engine = m_engines[index];
        router.reservations.release(request.id);
        router.views[index].budget.requestSent(request.size);
        engine.tokens += added(engine, request);
        ++engine.prompts[request.size.prompt];
        const auto self = static_cast<std::size_t>(&router - m_routers.data());
        engine.running.push_back(
            {.request = request, .router = self, .endsAt = m_now + request.duration});
        View &view = router.views[index];
        view.reported = static_cast<double>(engine.running.size());
        view.ownAtReport = view.budget.requestCount();
        for (Router &other : m_routers) {
            if (&other == &router || m_options.announcesPrompts)
                other.views[index].knownPrompts[request.size.prompt] = request.size.shared;
        }
        if (m_now < m_measuredFrom)
            return;
        ++m_sends;
        m_exceedingSends += engine.tokens > m_options.engineTokens ? 1 : 0;
        m_maximumUse = std::max(m_maximumUse,
                                static_cast<double>(engine.tokens)
                                    / static_cast<double>(m_options.engineTokens));
        m_outcomes.push_back({request.kind, request.size.total().value(), true});
    }

    void endRequests()
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            Engine &engine = m_engines[i];
            std::erase_if(engine.running, [&](const Running &running) {
                if (m_now < running.endsAt)
                    return false;
                const Capacity::RequestSize &size = running.request.size;
                m_routers[running.router].views[i].budget.requestEnded(size);
                engine.tokens -= size.own.value();
                if (--engine.prompts[size.prompt] == 0) {
                    engine.tokens -= size.shared.value();
                    engine.prompts.erase(size.prompt);
                }
                return true;
            });
            sendReports(i);
        }
    }

    /// Each router gets a report of each engine about every reportDelay.
    void sendReports(std::size_t engine)
    {
        std::bernoulli_distribution isReported(
            5.0 / static_cast<double>(Base::toMilliseconds(m_options.reportDelay)));
        for (Router &router : m_routers) {
            if (!isReported(m_random))
                continue;
            View &view = router.views[engine];
            view.reported = static_cast<double>(m_engines[engine].running.size());
            view.ownAtReport = view.budget.requestCount();
        }
    }

    Result result()
    {
        Result result{.largestServed = 1, .largestRatio = 1, .maximumUse = m_maximumUse};
        const auto share = [](const auto &from, const auto &to) {
            const auto served =
                std::count_if(from, to, [](const Outcome &outcome) { return outcome.isServed; });
            return static_cast<double>(served) / static_cast<double>(std::distance(from, to));
        };
        result.served = share(m_outcomes.begin(), m_outcomes.end());
        for (std::size_t kind = 0; kind < kindCount; ++kind) {
            std::vector<Outcome> outcomes;
            std::copy_if(m_outcomes.begin(), m_outcomes.end(), std::back_inserter(outcomes),
                         [&](const Outcome &outcome) { return outcome.kind == kind; });
            std::sort(outcomes.begin(), outcomes.end(),
                      [](const Outcome &a, const Outcome &b) { return a.tokens > b.tokens; });
            const auto tenth =
                std::next(outcomes.begin(), static_cast<std::ptrdiff_t>(outcomes.size() / 10));
            const double largest = share(outcomes.begin(), tenth);
            const double all = share(outcomes.begin(), outcomes.end());
            result.largestServed = std::min(result.largestServed, largest);
            result.largestRatio = std::min(result.largestRatio, largest / all);
        }
        result.exceedingSends = m_exceedingSends / std::max(1.0, m_sends);
        return result;
    }

    static constexpr Base::Duration targetLatency = std::chrono::milliseconds(1000);

    Options m_options;
    std::mt19937_64 m_random{7};
    Base::MonoTime m_now{std::chrono::hours(1)};
    Base::MonoTime m_measuredFrom;
    std::vector<Engine> m_engines;
    std::vector<Router> m_routers;
    std::vector<Outcome> m_outcomes;
    std::uint64_t m_lastId = 0;
    double m_maximumUse = 0;
    double m_sends = 0;
    double m_exceedingSends = 0;
};

} // namespace Lagoonbank::Test
