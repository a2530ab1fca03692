#include "fleetmodel.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace Lagoonbank::PolicyModel {

namespace {

constexpr double stepTime = 0.01;
constexpr double samplingInterval = 0.25;
constexpr double progressReportInterval = 0.5;
constexpr double retryDelay = 0.05;
constexpr double maxRetryPeriod = 2.0;
constexpr double expectedOutput = 150.0; ///< Output tokens that routers assume for a request.
constexpr std::int64_t maxChatTokens = 12000;

constexpr std::uint64_t chatSalt = 0x1234567;

double quantile(std::vector<double> &values, double q)
{
    if (values.empty())
        return 0.0;
    const auto index = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

} // namespace

FleetModel::FleetModel(const Scenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
{
    for (std::uint32_t i = 0; i < scenario.routers; ++i)
        m_routers.push_back(std::make_unique<Routing::Router>(scenario.router));
    // The last engine is not running at the start; it joins later.
    for (std::uint32_t i = 0; i <= scenario.engines; ++i) {
        Engine engine{.model = std::make_unique<EngineModel>(scenario.engine)};
        engine.model->firstToken = [this](const Job &job) { jobFirstToken(job); };
        engine.model->finished = [this, i](const Job &job) { jobFinished(i, job); };
        engine.nextReport = uniform(0.0, scenario.reportInterval);
        m_engines.push_back(std::move(engine));
    }
    m_engines.back().isUp = false;
    for (std::uint32_t i = 0; i < scenario.engines; ++i) {
        for (const auto &router : m_routers) {
            router->upsert({.id = Base::EndpointId("engine-" + std::to_string(i)),
                            .pool = "model/m",
                            .capacity = Base::WorkUnits(scenario.capacity)},
                           mono());
        }
    }
}

Figures FleetModel::run()
{
    startChats();
    if (m_scenario.churn)
        scheduleChurn();
    double nextRefresh = 0.0;
    double nextGossip = 0.0;
    double nextProgress = 0.0;
    double nextSample = m_scenario.warmUp;
    const double end = m_scenario.warmUp + m_scenario.length;
    for (m_now = 0.0; m_now < end; m_now += stepTime) {
        while (!m_events.empty() && m_events.top().time <= m_now) {
            const Event event = m_events.top();
            m_events.pop();
            event.run();
        }
        for (std::uint32_t i = 0; i < m_engines.size(); ++i) {
            if (!m_engines[i].isUp)
                continue;
            m_engines[i].model->advance(stepTime);
            if (m_now >= m_engines[i].nextReport)
                sendLoadReport(i);
        }
        if (m_now >= nextRefresh) {
            nextRefresh += Base::toSeconds(Routing::Router::refreshInterval);
            for (const auto &router : m_routers)
                router->refresh(mono());
        }
        if (m_scenario.gossipInterval > 0.0 && m_now >= nextGossip) {
            nextGossip += m_scenario.gossipInterval;
            gossip();
        }
        if (m_now >= nextProgress) {
            nextProgress += progressReportInterval;
            reportProgress();
        }
        if (m_now >= nextSample) {
            nextSample += samplingInterval;
            sample();
        }
    }
    return figures();
}

void FleetModel::schedule(double time, std::function<void()> run)
{
    m_events.push({.time = time, .sequence = ++m_sequence, .run = std::move(run)});
}

Base::MonoTime FleetModel::mono() const
{
    return Base::MonoTime(std::chrono::hours(1)) + Base::fromSeconds(m_now);
}

double FleetModel::uniform(double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(m_random);
}

double FleetModel::exponential(double mean)
{
    return std::exponential_distribution<double>(1.0 / mean)(m_random);
}

void FleetModel::startChats()
{
    const double rate = m_scenario.requestsPerEngine * m_scenario.engines;
    constexpr double turnTime = 6.0;
    const auto count = static_cast<std::uint32_t>(rate * (m_scenario.meanPause + turnTime));
    m_chats.resize(count);
    for (std::uint32_t chat = 0; chat < count; ++chat) {
        m_chats[chat].isSurging = chat % 10 == 0;
        schedule(uniform(0.0, m_scenario.meanPause), [this, chat] { startTurn(chat); });
    }
}

/// One engine drains and comes back cold, one flaps, one joins, and one crashes.
void FleetModel::scheduleChurn()
{
    const double start = m_scenario.warmUp;
    schedule(start + 20.0, [this] { publishState(0, Routing::EndpointState::Leaving); });
    schedule(start + 50.0, [this] {
        crash(0);
        bringUp(0);
        publishState(0, Routing::EndpointState::Live);
    });
    for (int flap = 0; flap < 5; ++flap) {
        schedule(start + 80.0 + 8.0 * flap, [this] { crash(1); });
        schedule(start + 83.0 + 8.0 * flap, [this] { bringUp(1); });
    }
    schedule(start + 130.0, [this] {
        bringUp(m_scenario.engines);
        publishState(m_scenario.engines, Routing::EndpointState::Live);
    });
    schedule(start + 170.0, [this] { crash(2); });
    schedule(start + 190.0, [this] { bringUp(2); });
}

void FleetModel::startTurn(std::uint32_t chat)
{
    Chat &state = m_chats[chat];
    const bool hasLongPrompts = chat % 50 == 1;
    std::lognormal_distribution<double> promptDraw(hasLongPrompts ? 8.5 : 4.6, 0.6);
    std::lognormal_distribution<double> outputDraw(4.8, 0.6);
    const auto added = static_cast<std::int64_t>(promptDraw(m_random)) + 1;
    if (state.tokens > maxChatTokens)
        state = {.isSurging = state.isSurging};
    Job job{.id = ++m_jobs,
            .chat = chat,
            .router = static_cast<std::uint32_t>(m_random() % m_routers.size()),
            .priority = static_cast<std::uint8_t>(chat % 5 == 0 ? 0 : 1),
            .prompt = state.tokens + added,
            .output = static_cast<std::int64_t>(outputDraw(m_random)) + 1,
            .previousTokens = state.tokens,
            .arrivedAt = m_now};
    route(job);
}

void FleetModel::route(const Job &job)
{
    Routing::RouteRequest request{
        .pool = 0,
        .chatHash = Routing::mixHashes(job.chat + chatSalt, 0),
        .promptTokens = Base::Tokens(job.prompt),
        .expectedOutput = Base::Tokens(static_cast<std::int64_t>(expectedOutput)),
        .priority = job.priority,
        .waited = Base::fromSeconds(m_now - job.arrivedAt),
    };
    const Chat &chat = m_chats[job.chat];
    const bool sendsToken = Routing::mixHashes(job.chat, 1) % 1000 < m_scenario.tokenShare * 1000;
    const Routing::Decision decision = m_routers[job.router]->choose(
        request, sendsToken ? chat.token : std::optional<Routing::Placement>());
    if (decision.outcome == Routing::Outcome::Send) {
        send(job, decision);
        return;
    }
    if (m_now - job.arrivedAt < maxRetryPeriod) {
        schedule(m_now + retryDelay, [this, job] { route(job); });
        return;
    }
    if (m_now >= m_scenario.warmUp) {
        ++m_figures.refused;
        m_figures.refusedUrgent += job.priority == 0 ? 1 : 0;
    }
    const std::uint32_t chatIndex = job.chat;
    schedule(m_now + exponential(m_scenario.meanPause),
             [this, chatIndex] { startTurn(chatIndex); });
}

void FleetModel::send(const Job &job, const Routing::Decision &decision)
{
    Routing::Router &router = *m_routers[job.router];
    Routing::SentRequest sent = router.noteSent(decision, mono());
    Engine &engine = m_engines[decision.endpoint];
    if (!engine.isUp) {
        router.noteEnded(&sent, Routing::ExchangeResult::Unreachable, mono());
        retry(job);
        return;
    }
    const std::int64_t cachedTokens = engine.model->add(job);
    m_inFlightJobs[job.id] = {
        .sent = sent, .engine = decision.endpoint, .cachedTokens = cachedTokens};
    if (m_now < m_scenario.warmUp || job.attempts > 0)
        return;
    ++m_figures.requests;
    if (job.previousTokens == 0)
        return;
    ++m_returningRequests;
    m_returningTokens += static_cast<double>(job.previousTokens);
    m_returningCachedTokens += static_cast<double>(cachedTokens);
    m_cacheHits += 10 * cachedTokens >= 9 * job.previousTokens ? 1 : 0;
}

void FleetModel::retry(const Job &job)
{
    Job retried = job;
    ++retried.attempts;
    schedule(m_now + 0.02, [this, retried] { route(retried); });
}

void FleetModel::jobFirstToken(const Job &job)
{
    if (m_now >= m_scenario.warmUp)
        m_waits.push_back(m_now - job.arrivedAt);
    InFlightJob &inFlightJob = m_inFlightJobs[job.id];
    const auto uncached = static_cast<double>(job.prompt - inFlightJob.cachedTokens);
    m_routers[job.router]->noteProgress(&inFlightJob.sent, Base::WorkUnits(uncached), mono());
}

void FleetModel::jobFinished(std::uint32_t engine, const Job &job)
{
    Routing::Router &router = *m_routers[job.router];
    InFlightJob &inFlightJob = m_inFlightJobs[job.id];
    router.noteEnded(&inFlightJob.sent, Routing::ExchangeResult::Answered, mono());
    m_inFlightJobs.erase(job.id);
    Chat &chat = m_chats[job.chat];
    chat.tokens = job.prompt + job.output;
    chat.token = router.noteServed(Routing::mixHashes(job.chat + chatSalt, 0), engine,
                                   Base::Tokens(chat.tokens));
    const double surgeStart = m_scenario.warmUp + 100.0;
    const bool isInSurge =
        m_scenario.surge && chat.isSurging && m_now > surgeStart && m_now < surgeStart + 20.0;
    const double pause = isInSurge ? m_scenario.meanPause / 10.0 : m_scenario.meanPause;
    const std::uint32_t chatIndex = job.chat;
    schedule(m_now + exponential(pause), [this, chatIndex] { startTurn(chatIndex); });
}

void FleetModel::crash(std::uint32_t engine)
{
    m_engines[engine].isUp = false;
    for (const Job &job : m_engines[engine].model->crash()) {
        ++m_figures.crashed;
        InFlightJob &inFlightJob = m_inFlightJobs[job.id];
        m_routers[job.router]->noteEnded(&inFlightJob.sent, Routing::ExchangeResult::Broke, mono());
        m_inFlightJobs.erase(job.id);
        retry(job);
    }
}

void FleetModel::bringUp(std::uint32_t engine)
{
    m_engines[engine].isUp = true;
    ++m_engines[engine].incarnation;
}

void FleetModel::publishState(std::uint32_t engine, Routing::EndpointState state)
{
    m_engines[engine].isLeaving = state != Routing::EndpointState::Live;
    for (const auto &ownedRouter : m_routers) {
        Routing::Router *router = ownedRouter.get();
        schedule(m_now + uniform(0.0, 2.0), [this, router, engine, state] {
            router->upsert({.id = Base::EndpointId("engine-" + std::to_string(engine)),
                            .pool = "model/m",
                            .capacity = Base::WorkUnits(m_scenario.capacity),
                            .state = state,
                            .coldSince = mono()},
                           mono());
        });
    }
}

void FleetModel::sendLoadReport(std::uint32_t engine)
{
    m_engines[engine].nextReport += m_scenario.reportInterval;
    const Routing::LoadReport sampled{.work = Base::WorkUnits(m_engines[engine].model->work()),
                                      .sampledAt = mono(),
                                      .incarnation =
                                          Base::Incarnation(m_engines[engine].incarnation)};
    const double arrivalTime =
        m_now + uniform(m_scenario.reportDelayMin, m_scenario.reportDelayMax);
    for (const auto &ownedRouter : m_routers) {
        if (uniform(0.0, 1.0) < m_scenario.reportLoss)
            continue;
        Routing::Router *router = ownedRouter.get();
        schedule(arrivalTime, [this, router, engine, sampled] {
            if (engine < router->endpoints().size())
                router->noteReport(engine, sampled, Base::WorkUnits(0), mono());
        });
    }
}

void FleetModel::gossip()
{
    for (std::uint32_t from = 0; from < m_routers.size(); ++from) {
        for (std::uint32_t to = 0; to < m_routers.size(); ++to) {
            if (from == to)
                continue;
            const std::size_t count =
                std::min(m_routers[from]->endpoints().size(), m_routers[to]->endpoints().size());
            for (Routing::EndpointIndex i = 0; i < count; ++i)
                m_routers[to]->notePeerInFlight(from, i, m_routers[from]->loads().ownInFlight(i),
                                                mono());
        }
    }
}

/// Reports the output tokens of running streams to their routers.
void FleetModel::reportProgress()
{
    for (const Engine &engine : m_engines) {
        engine.model->forEachDecoding([this](const Job &job, double outputTokens) {
            Routing::SentWork &sent = m_inFlightJobs[job.id].sent.work;
            const double remaining =
                std::max(expectedOutput - outputTokens, 0.0) * m_scenario.engine.outputWeight;
            if (sent.remaining > remaining)
                m_routers[job.router]->noteProgress(&m_inFlightJobs[job.id].sent,
                                                    Base::WorkUnits(sent.remaining - remaining),
                                                    mono());
        });
    }
}

void FleetModel::sample()
{
    double load = 0.0;
    double upEngineCount = 0.0;
    for (const Engine &engine : m_engines) {
        if (!engine.isUp || engine.isLeaving)
            continue;
        load += engine.model->work();
        upEngineCount += 1.0;
    }
    const double mean = load / std::max(upEngineCount, 1.0);
    if (mean <= 0.0)
        return;
    const Routing::Router &router = *m_routers[m_random() % m_routers.size()];
    for (std::uint32_t i = 0; i < m_engines.size(); ++i) {
        if (!m_engines[i].isUp || m_engines[i].isLeaving)
            continue;
        const double work = m_engines[i].model->work();
        m_skews.push_back(work / mean);
        m_skewsWithoutLargest.push_back((work - m_engines[i].model->largestJob()) / mean);
        if (i < router.candidates().size())
            m_estimateErrors.push_back(std::abs(router.candidates()[i].load - work) / mean);
    }
}

Figures FleetModel::figures()
{
    Figures result = m_figures;
    result.reuse = m_returningTokens > 0.0 ? m_returningCachedTokens / m_returningTokens : 0.0;
    result.cacheHitShare = m_returningRequests > 0
        ? static_cast<double>(m_cacheHits) / static_cast<double>(m_returningRequests)
        : 0.0;
    result.skewP50 = quantile(m_skews, 0.5);
    result.skewP99 = quantile(m_skews, 0.99);
    result.skewMax = quantile(m_skews, 1.0);
    result.skewWithoutLargestP99 = quantile(m_skewsWithoutLargest, 0.99);
    result.waitMean = m_waits.empty() ? 0.0
                                      : std::accumulate(m_waits.begin(), m_waits.end(), 0.0)
            / static_cast<double>(m_waits.size());
    result.waitP95 = quantile(m_waits, 0.95);
    result.estimateErrorP50 = quantile(m_estimateErrors, 0.5);
    result.estimateErrorP99 = quantile(m_estimateErrors, 0.99);
    return result;
}

} // namespace Lagoonbank::PolicyModel
