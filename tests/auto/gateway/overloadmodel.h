#pragma once

#include "gateway/concurrencylimit.h"
#include "gateway/loadsharing.h"
#include "gateway/loadshedder.h"
#include "gateway/placement.h"
#include "routing/rendezvous.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulates routers in front of engines that lack the capacity for all requests, on a virtual
/// clock and without a network. An engine runs a limited number of requests concurrently, each
/// slower the more of them run, and queues the rest up to a limit. Routers receive load reports
/// with the answers to their own requests, and by gossip if it is enabled. Callers abandon a stream
/// that does not begin within two seconds, and retry once when they are refused.
class OverloadModel
{
public:
    struct Kind
    {
        std::string name;
        int priority = 0;
        double requestsPerSecond = 0; ///< Requests per second of all workspaces.
        double seconds = 0; ///< Run time of a request on an idle engine.
        double target = 0; ///< Target latency of the first event, in seconds.
        double timeout = 0; ///< Timeout of the callers, in seconds.
        /// Number of distinct prompts that its requests share, each with a home endpoint (the first
        /// in its rendezvous-hash order); 0 for requests without a prompt.
        int prompts = 0;
        /// Additional run time on an engine that has not cached the prompt.
        double prefillSeconds = 0;
    };
    struct Options
    {
        std::vector<Kind> kinds;
        int routers = 6;
        int engines = 4;
        int slots = 64;
        int workspaces = 10;
        /// Number of workspaces, starting with the first, that have a higher priority.
        int urgentWorkspaces = 0;
        /// Requests of the first workspace as a multiple of each other workspace's.
        double firstWorkspaceRequestFactor = 1;
        bool isShedding = true;
        bool isSharing = false; ///< Whether routers gossip the loads of engines.
        bool isLimiting = false; ///< Whether each router applies a ConcurrencyLimit.
        /// Maximum number of requests that wait at an engine.
        int queue = std::numeric_limits<int>::max();
        /// Whether routers know which prompts are cached.
        bool knowsCachedPrompts = false;
        double seconds = 30;
        double measuredFrom = 0; ///< Callers that arrive before this time are not counted.
        /// The first lostEngines engines are down from enginesLostFrom to enginesLostUntil; their
        /// requests are lost.
        double enginesLostFrom = 0;
        double enginesLostUntil = 0;
        int lostEngines = 0;
    };
    struct Tally
    {
        int callers = 0;
        int inTime = 0;
        int late = 0;
        int refused = 0;
        int abandoned = 0;
        Tally &operator+=(const Tally &other)
        {
            callers += other.callers;
            inTime += other.inTime;
            late += other.late;
            refused += other.refused;
            abandoned += other.abandoned;
            return *this;
        }
        double served() const
        {
            return callers > 0 ? static_cast<double>(inTime + late) / callers : 1;
        }
        double timely() const { return callers > 0 ? static_cast<double>(inTime) / callers : 1; }
    };

    explicit OverloadModel(Options options)
        : m_options(std::move(options))
    {
        using namespace Lagoonbank;
        for (int r = 0; r < m_options.routers; ++r) {
            auto router = std::make_unique<Router>();
            router->registry.setRouterCount(static_cast<std::size_t>(m_options.routers));
            m_routers.push_back(std::move(router));
        }
        m_engines.resize(static_cast<std::size_t>(m_options.engines));
        for (int e = 0; e < m_options.engines; ++e)
            put(e);
    }

    void run()
    {
        for (std::size_t kind = 0; kind < m_options.kinds.size(); ++kind)
            scheduleNext(kind);
        if (m_options.isSharing) {
            for (std::size_t router = 0; router < m_routers.size(); ++router)
                after(0.001 * static_cast<double>(router), [this, router] { gossipLoads(router); });
        }
        if (m_options.lostEngines > 0) {
            after(m_options.enginesLostFrom, [this] { loseEngines(); });
            after(m_options.enginesLostUntil, [this] { returnEngines(); });
        }
        while (!m_events.empty() && m_events.top().at < m_options.seconds + 5) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
    }

    const Tally &kind(const std::string &name) { return m_byKind[name]; }
    /// Requests that engines rejected because their queue was full.
    int rejected() const { return m_rejected; }
    const Tally &workspace(int number) { return m_byWorkspace[number]; }
    /// Sum over all workspaces but the first one.
    Tally otherWorkspaces() const
    {
        Tally sum;
        for (const auto &[number, tally] : m_byWorkspace)
            sum += number == 0 ? Tally() : tally;
        return sum;
    }
    Tally all() const
    {
        Tally sum;
        for (const auto &[name, tally] : m_byKind)
            sum += tally;
        return sum;
    }

private:
    struct Job
    {
        std::size_t kind = 0;
        int workspace = 0;
        double arrivedAt = 0; ///< Time of the caller's first attempt.
        bool isRetry = false;
        std::size_t router = 0;
        std::size_t engine = 0;
        bool hasBegun = false;
        bool hasLeft = false;
        double sentAt = 0;
        int sends = 0;
        std::optional<std::uint64_t> prompt;
    };
    using JobPtr = std::shared_ptr<Job>;
    struct Router
    {
        Lagoonbank::Gateway::EndpointRegistry registry{{}};
        Lagoonbank::Gateway::Placement placement{{}};
        Lagoonbank::Gateway::LoadShedder shedder{{}};
        Lagoonbank::Gateway::LoadSharing sharing{{.registry = &registry}};
        Lagoonbank::Gateway::ConcurrencyLimit limit{{}};
    };
    struct Engine
    {
        int boot = 0;
        int running = 0;
        std::deque<JobPtr> waiting;
        std::set<std::uint64_t> cachedPrompts;
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

    static Lagoonbank::Base::MonoTime at(double seconds)
    {
        return Lagoonbank::Base::MonoTime(std::chrono::hours(1))
            + std::chrono::duration_cast<Lagoonbank::Base::Duration>(
                   std::chrono::duration<double>(seconds));
    }
    static Lagoonbank::Base::Duration duration(double seconds)
    {
        return std::chrono::duration_cast<Lagoonbank::Base::Duration>(
            std::chrono::duration<double>(seconds));
    }
    void after(double delay, std::function<void()> run)
    {
        m_events.push({m_now + delay, ++m_lastSequenceNumber, std::move(run)});
    }
    Tally &kindOf(const Job &job) { return m_byKind[m_options.kinds[job.kind].name]; }
    void count(const Job &job, int Tally::*field)
    {
        if (job.arrivedAt < m_options.measuredFrom)
            return;
        ++(kindOf(job).*field);
        ++(m_byWorkspace[job.workspace].*field);
    }

    void put(int number)
    {
        using namespace Lagoonbank;
        Fleet::Endpoint endpoint;
        endpoint.id = idOf(static_cast<std::size_t>(number));
        endpoint.service = m_service;
        endpoint.slots = m_options.slots;
        endpoint.startedAt = Base::WallTime(std::chrono::seconds(static_cast<int>(m_now) + 1));
        for (const auto &router : m_routers)
            router->registry.put(endpoint, at(m_now));
        setCapacity();
    }
    void setCapacity()
    {
        for (const auto &router : m_routers) {
            const double slots = router->registry.totalSlots(m_service, at(m_now));
            router->limit.setCapacity(slots, m_options.routers);
        }
    }
    void loseEngines()
    {
        for (int e = 0; e < m_options.lostEngines; ++e) {
            Engine &engine = m_engines[static_cast<std::size_t>(e)];
            engine = {.boot = engine.boot + 1};
            for (const auto &router : m_routers)
                router->registry.remove(idOf(static_cast<std::size_t>(e)), at(m_now));
        }
        setCapacity();
    }
    void returnEngines()
    {
        for (int e = 0; e < m_options.lostEngines; ++e)
            put(e);
    }
    /// Sends the loads to a random peer, ten times a second.
    void gossipLoads(std::size_t router)
    {
        if (m_now > m_options.seconds)
            return;
        const auto loads = m_routers[router]->sharing.announcement(at(m_now));
        std::uniform_int_distribution<std::size_t> anyRouter(0, m_routers.size() - 1);
        Router &peer = *m_routers[anyRouter(m_random)];
        after(0.002, [this, &peer, loads] { peer.sharing.merge(loads, {}, at(m_now)); });
        after(0.1, [this, router] { gossipLoads(router); });
    }

    void scheduleNext(std::size_t kind)
    {
        std::exponential_distribution<double> gap(m_options.kinds[kind].requestsPerSecond);
        after(gap(m_random), [this, kind] {
            if (m_now > m_options.seconds)
                return;
            auto job = std::make_shared<Job>();
            job->kind = kind;
            job->arrivedAt = m_now;
            std::uniform_real_distribution<double> part(
                0, m_options.workspaces - 1 + m_options.firstWorkspaceRequestFactor);
            job->workspace = static_cast<int>(
                std::max(0.0, part(m_random) - m_options.firstWorkspaceRequestFactor + 1));
            if (const int prompts = m_options.kinds[kind].prompts; prompts > 0) {
                job->prompt = Lagoonbank::Routing::mixHashes(
                    kind + 1, std::uniform_int_distribution<std::uint64_t>(1, prompts)(m_random));
            }
            count(*job, &Tally::callers);
            arrive(job);
            scheduleNext(kind);
        });
    }
    Lagoonbank::Gateway::AdmissionRequest admissionRequest(const Job &job) const
    {
        using namespace Lagoonbank;
        const Kind &kind = m_options.kinds[job.kind];
        return {.service = m_service,
                .route = kind.name,
                .workspace = Base::WorkspaceId("w" + std::to_string(job.workspace)),
                .urgency = {.priority = job.workspace < m_options.urgentWorkspaces ? 0 : 1,
                            .routePriority = kind.priority},
                .targetLatency = duration(kind.target),
                .remainingTimeout = duration(kind.timeout - (m_now - job.arrivedAt)),
                .isPromptCached = isPromptCached(job)};
    }
    bool isPromptCached(const Job &job) const
    {
        return !m_options.knowsCachedPrompts || !job.prompt
            || std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine &engine) {
                   return engine.cachedPrompts.contains(*job.prompt);
               });
    }
    void arrive(const JobPtr &job)
    {
        job->router = std::uniform_int_distribution<std::size_t>(0, m_routers.size() - 1)(m_random);
        m_routers[job->router]->shedder.requestArrived(admissionRequest(*job), at(m_now));
        place(job, m_now);
    }
    void place(const JobPtr &job, double waitingSince)
    {
        Router &router = *m_routers[job->router];
        const double share = m_options.isShedding
            ? router.shedder.usableShare(admissionRequest(*job), at(m_now))
            : 1e9;
        const bool exceedsConcurrencyLimit = m_options.isLimiting
            && !router.limit.admits(router.registry.inFlight(m_service), share);
        Lagoonbank::Gateway::PlacementResult chosen;
        if (!exceedsConcurrencyLimit) {
            chosen = router.placement.choose({.service = m_service,
                                              .affinity = job->prompt,
                                              .requestHash = m_random(),
                                              .usableShare = share},
                                             router.registry, at(m_now));
        }
        if (chosen.endpoint) {
            router.shedder.requestAdmitted(admissionRequest(*job), at(m_now));
            send(job, chosen.endpoint);
        } else if (m_now - waitingSince < 0.03) {
            after(0.01, [this, job, waitingSince] { place(job, waitingSince); });
        } else {
            refuse(job);
        }
    }
    void refuse(const JobPtr &job)
    {
        const Kind &kind = m_options.kinds[job->kind];
        if (job->isRetry) {
            count(*job, &Tally::refused);
            return;
        }
        job->isRetry = true;
        const auto wait = m_routers[job->router]->shedder.retryAfter(duration(kind.target));
        after(Lagoonbank::Base::toSeconds(wait), [this, job] { arrive(job); });
    }
    void send(const JobPtr &job, const Lagoonbank::Gateway::EndpointPtr &endpoint)
    {
        m_routers[job->router]->registry.requestSent(*endpoint, at(m_now));
        job->engine = static_cast<std::size_t>(std::stoi(endpoint->info.id.value().substr(1)));
        job->sentAt = m_now;
        Engine &engine = m_engines[job->engine];
        if (static_cast<int>(engine.waiting.size()) >= m_options.queue) {
            reject(job, *endpoint);
            return;
        }
        engine.waiting.push_back(job);
        after(2, [this, job] { leave(job); });
        serve(job->engine);
    }
    void reject(const JobPtr &job, Lagoonbank::Gateway::EndpointRecord &endpoint)
    {
        constexpr int maxSends = 3;
        ++m_rejected;
        Router &router = *m_routers[job->router];
        router.registry.requestEnded(endpoint);
        router.limit.rejected(at(m_now));
        endpoint.fullUntil = at(m_now + 0.15);
        if (++job->sends < maxSends)
            place(job, m_now);
        else
            refuse(job);
    }
    void leave(const JobPtr &job)
    {
        if (job->hasBegun)
            return;
        job->hasLeft = true;
        count(*job, &Tally::abandoned);
        releaseAtRouter(*job);
    }
    void serve(std::size_t number)
    {
        Engine &engine = m_engines[number];
        while (!engine.waiting.empty() && engine.running < m_options.slots) {
            const JobPtr job = engine.waiting.front();
            engine.waiting.pop_front();
            if (job->hasLeft)
                continue;
            ++engine.running;
            const double fullness = static_cast<double>(engine.running) / m_options.slots;
            // A step of the engine takes 3.7 ms with one request and 8.9 ms with 64.
            const Kind &kind = m_options.kinds[job->kind];
            const bool isCached = !job->prompt || !engine.cachedPrompts.insert(*job->prompt).second;
            const double prefill = isCached ? 0 : kind.prefillSeconds;
            const double runTime = prefill + kind.seconds * (1 + 1.4 * fullness);
            const int boot = engine.boot;
            const auto ifStillUp = [this, job, boot](void (OverloadModel::*step)(const JobPtr &)) {
                if (m_engines[job->engine].boot == boot)
                    (this->*step)(job);
            };
            after(0.04 + prefill + 0.06 * fullness,
                  [ifStillUp] { ifStillUp(&OverloadModel::begin); });
            after(0.04 + runTime, [ifStillUp] { ifStillUp(&OverloadModel::finish); });
        }
    }
    void begin(const JobPtr &job)
    {
        if (job->hasLeft)
            return;
        job->hasBegun = true;
        const Kind &kind = m_options.kinds[job->kind];
        count(*job, m_now - job->arrivedAt <= kind.target ? &Tally::inTime : &Tally::late);
        Router &router = *m_routers[job->router];
        const auto endpoint = router.registry.find(idOf(job->engine));
        const Engine &engine = m_engines[job->engine];
        const Lagoonbank::Gateway::LoadReport report{.running = engine.running,
                                                     .waiting =
                                                         static_cast<int>(engine.waiting.size()),
                                                     .slots = m_options.slots};
        router.registry.loadReported(*endpoint, report, at(m_now));
        router.limit.loadReported(report, router.registry.inFlight(m_service), at(m_now));
        router.registry.answerTimed(*endpoint, duration(m_now - job->sentAt), duration(kind.target),
                                    at(m_now));
    }
    void finish(const JobPtr &job)
    {
        --m_engines[job->engine].running;
        if (!job->hasLeft) {
            releaseAtRouter(*job);
            m_routers[job->router]->shedder.requestEnded(admissionRequest(*job),
                                                         duration(m_now - job->sentAt));
        }
        serve(job->engine);
    }
    void releaseAtRouter(const Job &job)
    {
        Router &router = *m_routers[job.router];
        const auto endpoint = router.registry.find(idOf(job.engine));
        if (endpoint && endpoint->inFlight > 0)
            router.registry.requestEnded(*endpoint);
    }
    static Lagoonbank::Base::EndpointId idOf(std::size_t engine)
    {
        return Lagoonbank::Base::EndpointId("e" + std::to_string(engine));
    }

    const Lagoonbank::Base::ServiceId m_service{"service"};
    Options m_options;
    std::mt19937_64 m_random{7};
    double m_now = 0;
    long m_lastSequenceNumber = 0;
    int m_rejected = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<Engine> m_engines;
    std::map<std::string, Tally> m_byKind;
    std::map<int, Tally> m_byWorkspace;
};
