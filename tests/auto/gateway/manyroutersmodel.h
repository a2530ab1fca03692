#pragma once

#include "gateway/loadsharing.h"
#include "gateway/placement.h"
#include "schema/messagecodec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Many routers before many engines, on a virtual clock and without a network: each router sees so
/// few answers that it hears an engine's load once a minute. Requests come to routers at random and
/// ask for prompts, some of which are asked for more often than others. Engines run all that they
/// get, and tell their load with the first event of an answer.
///
/// Figures: 5 requests a second at a router and 5 under way at an engine on average, as a fleet of
/// 300 routers before 200 engines has them. Three kinds of request, by shares, lengths of answers
/// and shared tokens as the users' hints, questions and checks of a slot. Prompts are asked for
/// with a skew of 0.3: the first of 500 four times as often as the average one.
class ManyRoutersModel
{
public:
    struct Kind
    {
        double requestsPerSecond = 0;
        double answerSeconds = 1;
        int prompts = 500;
        int sharedTokens = 10000;
    };
    /// A data centre that gets nothing new for a while, and is cold after it.
    struct Drain
    {
        int dataCentre = 0;
        double from = 0; ///< Seconds.
        double to = 0;
    };
    struct Options
    {
        int routers = 300;
        int engines = 200;
        std::vector<Kind> kinds{
            {378, 1.4, 497, 10512}, {282, 1.0, 832, 699}, {893, 0.15, 1762, 2041}};
        double skew = 0.3;
        /// Part of the first kind's requests that ask for one prompt, from second 8 to 14.
        double hotPart = 0;
        /// Requests that come at the same moment, on average.
        double group = 1;
        /// Engines that join empty, one after the other, from second 10 to 15.
        int joining = 0;
        int dataCentres = 1; ///< With as many engines each.
        std::vector<Drain> drains;
        Lagoonbank::Fleet::Warmup warmup;
        /// Between two messages of a router to another one; 0 for none.
        double gossipSeconds = 0.1;
        Lagoonbank::Gateway::Placement::Options placement;
        double warmUp = 5;
        double seconds = 15; ///< Without the warm-up.
        unsigned seed = 7;
    };
    struct Figures
    {
        int requests = 0;
        int overBound = 0; ///< To engines with over twice the mean and 3 requests.
        int leftHome = 0;
        double worstFiveSeconds = 0; ///< Share over the bound.
        double meanLoad = 0;
        double tokensReadAgain = 0; ///< Of prompts that came to one more engine.
        double usualError = 0; ///< Of what routers think is usual, as a part of it.
        double bytesPerSecond = 0; ///< That a router sends.
        double overShare() const { return double(overBound) / requests; }
        double leftShare() const { return double(leftHome) / requests; }
    };

    explicit ManyRoutersModel(Options options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_running(static_cast<std::size_t>(m_options.engines + m_options.joining))
    {
        for (int i = 0; i < m_options.routers; ++i)
            m_routers.push_back(std::make_unique<Router>(*this, static_cast<unsigned>(i)));
        for (const Kind &kind : m_options.kinds) {
            std::vector<double> weights;
            for (int i = 1; i <= kind.prompts; ++i)
                weights.push_back(std::pow(i, -m_options.skew));
            m_prompts.emplace_back(weights.begin(), weights.end());
        }
    }

    Figures run()
    {
        const double end = m_options.warmUp + m_options.seconds;
        for (std::size_t kind = 0; kind < m_options.kinds.size(); ++kind)
            scheduleRequest(kind);
        for (std::size_t i = 0; m_options.gossipSeconds > 0 && i < m_routers.size(); ++i)
            at(m_options.gossipSeconds * uniform(), [this, i] { gossip(i); });
        for (const Drain &drain : m_options.drains) {
            at(drain.from, [this, drain] { setDrained(drain.dataCentre, true); });
            at(drain.to, [this, drain] { setDrained(drain.dataCentre, false); });
        }
        for (int i = 0; i < m_options.joining; ++i)
            at(10 + 5.0 * i / m_options.joining, [this] { join(); });
        while (!m_events.empty() && m_events.top().at < end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        m_figures.bytesPerSecond = double(m_bytes) / m_options.seconds / m_options.routers;
        m_figures.usualError /= std::max(1, m_figures.requests);
        m_figures.meanLoad /= std::max(1, m_figures.requests);
        m_figures.worstFiveSeconds = worstFiveSeconds();
        return m_figures;
    }

private:
    static constexpr std::size_t headerBytes = 28; ///< Of UDP and IP.
    static constexpr int slots = 12;
    static constexpr double firstEvent = 0.06; ///< Seconds from the send.
    static constexpr double way = 0.002; ///< Of a message between routers, in seconds.

    struct Router
    {
        Router(const ManyRoutersModel &model, unsigned seed)
            : placement(model.m_options.placement)
            , sharing({.registry = &registry, .randomSeed = seed})
        {
            registry.setRouterCount(static_cast<std::size_t>(model.m_options.routers));
            registry.setServices({{.name = service(), .warmup = model.m_options.warmup}});
            registry.setFleet(model.fleetOf(static_cast<int>(seed)));
            for (int i = 0; i < model.m_options.engines; ++i)
                addEngine(i, i * model.m_options.dataCentres / model.m_options.engines,
                          model.mono());
        }
        void addEngine(int number, int dataCentre, Lagoonbank::Base::MonoTime now)
        {
            constexpr int firstName = 1000; // Names in the order of the numbers.
            const std::string name = "engine-" + std::to_string(firstName + number);
            Lagoonbank::Fleet::Endpoint endpoint{.id = Lagoonbank::Base::EndpointId(name),
                                                 .service = service()};
            endpoint.address = {"127.0.0.1", 80};
            endpoint.dataCentre = dataCentreId(dataCentre);
            endpoint.slots = slots;
            registry.put(endpoint, now);
        }
        Lagoonbank::Gateway::EndpointRegistry registry{{}};
        Lagoonbank::Gateway::Placement placement;
        Lagoonbank::Gateway::LoadSharing sharing;
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
    struct Second
    {
        int requests = 0;
        int overBound = 0;
    };

    static Lagoonbank::Base::DataCentreId dataCentreId(int number)
    {
        return Lagoonbank::Base::DataCentreId("dc" + std::to_string(number));
    }
    Lagoonbank::Gateway::WarmupQuota::Fleet fleetOf(int router) const
    {
        Lagoonbank::Gateway::WarmupQuota::Fleet fleet{.isComplete = true};
        for (int i = 0; i < m_options.routers; ++i) {
            const std::string name = "router-" + std::to_string(i);
            if (i == router)
                fleet.self = name;
            else
                fleet.others.push_back(name);
        }
        return fleet;
    }
    void setDrained(int dataCentre, bool isDrained)
    {
        if (isDrained)
            m_drained.insert(dataCentreId(dataCentre));
        else
            m_drained.erase(dataCentreId(dataCentre));
        for (const auto &router : m_routers)
            router->registry.setDrainedDataCentres(m_drained, mono());
    }
    static Lagoonbank::Base::ServiceId service() { return Lagoonbank::Base::ServiceId("service"); }
    Lagoonbank::Base::MonoTime mono() const
    {
        return Lagoonbank::Base::MonoTime(std::chrono::hours(1))
            + Lagoonbank::Base::fromSeconds(m_now);
    }
    void at(double time, std::function<void()> run)
    {
        m_events.push({.at = time, .order = ++m_order, .run = std::move(run)});
    }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }
    double meanLoad() const { return double(m_underWay) / m_options.engines; }

    void join()
    {
        for (const auto &router : m_routers)
            router->addEngine(m_options.engines, 0, mono());
        ++m_options.engines;
    }

    void scheduleRequest(std::size_t kind)
    {
        const double interval = m_options.group / m_options.kinds[kind].requestsPerSecond;
        at(m_now + exponential(interval), [this, kind] {
            scheduleRequest(kind);
            do {
                request(*m_routers[m_random() % m_routers.size()], m_options.kinds[kind],
                        nextPrompt(kind));
            } while (uniform() > 1 / m_options.group);
        });
    }

    std::uint64_t nextPrompt(std::size_t kind)
    {
        const bool isHot = kind == 0 && m_now > 8 && m_now < 14 && uniform() < m_options.hotPart;
        const std::uint64_t number = isHot ? 0 : 1 + m_prompts[kind](m_random);
        constexpr std::uint64_t spread = 1000003;
        return (kind + 1) * spread * spread + number * spread;
    }

    void request(Router &router, const Kind &kind, std::uint64_t prompt)
    {
        using namespace Lagoonbank;
        const Gateway::PlacementResult place =
            router.placement.choose({.service = service(),
                                     .affinity = prompt,
                                     .sharedTokens = Base::Tokens(kind.sharedTokens),
                                     .requestHash = m_random(),
                                     .targetLatency = std::chrono::milliseconds(500)},
                                    router.registry, mono());
        const Gateway::EndpointPtr engine = place.endpoint;
        const auto number = static_cast<std::size_t>(engine->index);
        if (m_now > m_options.warmUp)
            count(router, place, m_running[number] + 1);
        const bool isNew = m_held[prompt].insert(number).second;
        if (isNew && m_held[prompt].size() > 1 && m_now > m_options.warmUp)
            m_figures.tokensReadAgain += kind.sharedTokens;
        router.registry.requestSent(*engine, mono());
        ++m_running[number];
        ++m_underWay;
        at(m_now + firstEvent, [this, &router, engine, number] {
            router.registry.loadReported(
                *engine, {.running = m_running[number], .waiting = 0, .slots = slots}, mono());
        });
        at(m_now + firstEvent + exponential(kind.answerSeconds), [this, &router, engine, number] {
            router.registry.requestEnded(*engine);
            --m_running[number];
            --m_underWay;
        });
    }

    void count(const Router &router, const Lagoonbank::Gateway::PlacementResult &place, int running)
    {
        const bool isOver = running > 2 * meanLoad() + 3;
        Second &second = m_seconds[static_cast<int>(m_now)];
        ++second.requests;
        second.overBound += isOver ? 1 : 0;
        ++m_figures.requests;
        m_figures.overBound += isOver ? 1 : 0;
        m_figures.leftHome +=
            place.reason == Lagoonbank::Gateway::PlacementReason::HomeBusy ? 1 : 0;
        m_figures.meanLoad += meanLoad();
        const double usual = router.registry.usualLoad(service(), mono()).value_or(0);
        m_figures.usualError += std::abs(usual - meanLoad()) / meanLoad();
    }

    double worstFiveSeconds() const
    {
        constexpr int window = 5;
        double worst = 0;
        const int first = static_cast<int>(m_options.warmUp);
        for (int from = first; from + window <= first + m_options.seconds; ++from) {
            Second sum;
            for (auto at = m_seconds.lower_bound(from); at != m_seconds.lower_bound(from + window);
                 ++at) {
                sum.requests += at->second.requests;
                sum.overBound += at->second.overBound;
            }
            worst = std::max(worst, double(sum.overBound) / std::max(1, sum.requests));
        }
        return worst;
    }

    void gossip(std::size_t from)
    {
        at(m_now + m_options.gossipSeconds, [this, from] { gossip(from); });
        const std::size_t to = m_random() % m_routers.size();
        if (to == from)
            return;
        const auto announcement = m_routers[from]->sharing.announcement(mono());
        if (m_now > m_options.warmUp)
            m_bytes += headerBytes + Lagoonbank::Schema::encodeMessage(announcement).value().size();
        at(m_now + way, [this, to, announcement] {
            m_routers[to]->sharing.merge(announcement, Lagoonbank::Base::fromSeconds(way), mono());
        });
    }

    Options m_options;
    std::mt19937_64 m_random;
    std::vector<std::discrete_distribution<std::uint64_t>> m_prompts; ///< Of each kind.
    std::set<Lagoonbank::Base::DataCentreId> m_drained;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<int> m_running; ///< At each engine.
    int m_underWay = 0;
    std::map<std::uint64_t, std::set<std::size_t>> m_held; ///< Engines that have read a prompt.
    std::priority_queue<Event> m_events;
    double m_now = 0;
    long m_order = 0;
    std::map<int, Second> m_seconds;
    Figures m_figures;
    std::size_t m_bytes = 0;
};
