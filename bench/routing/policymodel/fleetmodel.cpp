#include "fleetmodel.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>

namespace Lagoonbank::PolicyModel {

namespace {

constexpr double stepTime = 0.01;
constexpr double sampleTime = 0.25;
constexpr double progressTime = 0.5;
constexpr double retryTime = 0.05;
constexpr double longestWait = 2.0;
constexpr double expectedOutput = 150.0; ///< What routers take an answer's length to be.
constexpr std::int64_t longestChat = 12000;

constexpr std::uint64_t chatSalt = 0x1234567;

double quantile(std::vector<double> &values, double q)
{
    if (values.empty())
        return 0.0;
    const auto at = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

} // namespace

FleetModel::FleetModel(const Scenario &scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
{
    for (std::uint32_t i = 0; i < scenario.routers; ++i)
        m_routers.push_back(std::make_unique<Routing::Router>(scenario.router));
    // One more than run at the start: it joins later.
    for (std::uint32_t i = 0; i <= scenario.engines; ++i) {
        Engine engine{.model = std::make_unique<EngineModel>(scenario.engine)};
        engine.model->firstToken = [this](const Job &job) { jobFirstToken(job); };
        engine.model->finished = [this, i](const Job &job) { jobFinished(i, job); };
        engine.nextReport = uniform(0.0, scenario.reportEvery);
        m_engines.push_back(std::move(engine));
    }
    m_engines.back().up = false;
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
        while (!m_events.empty() && m_events.top().at <= m_now) {
            const Event event = m_events.top();
            m_events.pop();
            event.run();
        }
        for (std::uint32_t i = 0; i < m_engines.size(); ++i) {
            if (!m_engines[i].up)
                continue;
            m_engines[i].model->advance(stepTime);
            if (m_now >= m_engines[i].nextReport)
                report(i);
        }
        if (m_now >= nextRefresh) {
            nextRefresh += Base::toSeconds(Routing::Router::refreshInterval);
            for (const auto &router : m_routers)
                router->refresh(mono());
        }
        if (m_scenario.gossipEvery > 0.0 && m_now >= nextGossip) {
            nextGossip += m_scenario.gossipEvery;
            gossip();
        }
        if (m_now >= nextProgress) {
            nextProgress += progressTime;
            progress();
        }
        if (m_now >= nextSample) {
            nextSample += sampleTime;
            sample();
        }
    }
    return figures();
}

void FleetModel::at(double time, std::function<void()> run)
{
    m_events.push({.at = time, .order = ++m_order, .run = std::move(run)});
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
        m_chats[chat].surging = chat % 10 == 0;
        at(uniform(0.0, m_scenario.meanPause), [this, chat] { turn(chat); });
    }
}

/// One engine drains and comes back cold, one flaps, one joins.
void FleetModel::scheduleChurn()
{
    const double start = m_scenario.warmUp;
    at(start + 20.0, [this] { setListed(0, Routing::EndpointState::Leaving); });
    at(start + 50.0, [this] {
        crash(0);
        bringUp(0);
        setListed(0, Routing::EndpointState::Live);
    });
    for (int flap = 0; flap < 5; ++flap) {
        at(start + 80.0 + 8.0 * flap, [this] { crash(1); });
        at(start + 83.0 + 8.0 * flap, [this] { bringUp(1); });
    }
    at(start + 130.0, [this] {
        bringUp(m_scenario.engines);
        setListed(m_scenario.engines, Routing::EndpointState::Live);
    });
    at(start + 170.0, [this] { crash(2); });
    at(start + 190.0, [this] { bringUp(2); });
}

void FleetModel::turn(std::uint32_t chat)
{
    Chat &state = m_chats[chat];
    const bool restocks = chat % 50 == 1;
    std::lognormal_distribution<double> promptDraw(restocks ? 8.5 : 4.6, 0.6);
    std::lognormal_distribution<double> outputDraw(4.8, 0.6);
    const auto added = static_cast<std::int64_t>(promptDraw(m_random)) + 1;
    if (state.tokens > longestChat)
        state = {.surging = state.surging};
    Job job{.id = ++m_jobs,
            .chat = chat,
            .router = static_cast<std::uint32_t>(m_random() % m_routers.size()),
            .priority = static_cast<std::uint8_t>(chat % 5 == 0 ? 0 : 1),
            .prompt = state.tokens + added,
            .output = static_cast<std::int64_t>(outputDraw(m_random)) + 1,
            .known = state.tokens,
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
    const bool brings = Routing::mixHashes(job.chat, 1) % 1000 < m_scenario.tokenShare * 1000;
    const Routing::Decision decision = m_routers[job.router]->choose(
        request, brings ? chat.token : std::optional<Routing::Placement>());
    if (decision.outcome == Routing::Outcome::Send) {
        send(job, decision);
        return;
    }
    if (m_now - job.arrivedAt < longestWait) {
        at(m_now + retryTime, [this, job] { route(job); });
        return;
    }
    if (m_now >= m_scenario.warmUp) {
        ++m_figures.refused;
        m_figures.refusedUrgent += job.priority == 0 ? 1 : 0;
    }
    const std::uint32_t again = job.chat;
    at(m_now + exponential(m_scenario.meanPause), [this, again] { turn(again); });
}

void FleetModel::send(const Job &job, const Routing::Decision &decision)
{
    Routing::Router &router = *m_routers[job.router];
    Routing::SentRequest sent = router.noteSent(decision, mono());
    Engine &engine = m_engines[decision.endpoint];
    if (!engine.up) {
        router.noteEnded(&sent, Routing::ExchangeResult::Unreachable, mono());
        retry(job);
        return;
    }
    const std::int64_t cached = engine.model->add(job);
    m_flights[job.id] = {.sent = sent, .engine = decision.endpoint, .cached = cached};
    if (m_now < m_scenario.warmUp || job.tries > 0)
        return;
    ++m_figures.requests;
    if (job.known == 0)
        return;
    ++m_returning;
    m_again += static_cast<double>(job.known);
    m_cached += static_cast<double>(cached);
    m_hits += 10 * cached >= 9 * job.known ? 1 : 0;
}

void FleetModel::retry(const Job &job)
{
    Job again = job;
    ++again.tries;
    at(m_now + 0.02, [this, again] { route(again); });
}

void FleetModel::jobFirstToken(const Job &job)
{
    if (m_now >= m_scenario.warmUp)
        m_waits.push_back(m_now - job.arrivedAt);
    Flight &flight = m_flights[job.id];
    const auto uncached = static_cast<double>(job.prompt - flight.cached);
    m_routers[job.router]->noteProgress(&flight.sent, Base::WorkUnits(uncached), mono());
}

void FleetModel::jobFinished(std::uint32_t engine, const Job &job)
{
    Routing::Router &router = *m_routers[job.router];
    Flight &flight = m_flights[job.id];
    router.noteEnded(&flight.sent, Routing::ExchangeResult::Answered, mono());
    m_flights.erase(job.id);
    Chat &chat = m_chats[job.chat];
    chat.tokens = job.prompt + job.output;
    chat.token = router.noteServed(Routing::mixHashes(job.chat + chatSalt, 0), engine,
                                   Base::Tokens(chat.tokens));
    const double surgeStart = m_scenario.warmUp + 100.0;
    const bool surges =
        m_scenario.surge && chat.surging && m_now > surgeStart && m_now < surgeStart + 20.0;
    const double pause = surges ? m_scenario.meanPause / 10.0 : m_scenario.meanPause;
    const std::uint32_t again = job.chat;
    at(m_now + exponential(pause), [this, again] { turn(again); });
}

void FleetModel::crash(std::uint32_t engine)
{
    m_engines[engine].up = false;
    for (const Job &job : m_engines[engine].model->crash()) {
        ++m_figures.crashed;
        Flight &flight = m_flights[job.id];
        m_routers[job.router]->noteEnded(&flight.sent, Routing::ExchangeResult::Broke, mono());
        m_flights.erase(job.id);
        retry(job);
    }
}

void FleetModel::bringUp(std::uint32_t engine)
{
    m_engines[engine].up = true;
    ++m_engines[engine].incarnation;
}

void FleetModel::setListed(std::uint32_t engine, Routing::EndpointState state)
{
    m_engines[engine].leaving = state != Routing::EndpointState::Live;
    for (const auto &each : m_routers) {
        Routing::Router *router = each.get();
        at(m_now + uniform(0.0, 2.0), [this, router, engine, state] {
            router->upsert({.id = Base::EndpointId("engine-" + std::to_string(engine)),
                            .pool = "model/m",
                            .capacity = Base::WorkUnits(m_scenario.capacity),
                            .state = state,
                            .coldSince = mono()},
                           mono());
        });
    }
}

void FleetModel::report(std::uint32_t engine)
{
    m_engines[engine].nextReport += m_scenario.reportEvery;
    const Routing::LoadReport sampled{.work = Base::WorkUnits(m_engines[engine].model->work()),
                                      .sampledAt = mono(),
                                      .incarnation =
                                          Base::Incarnation(m_engines[engine].incarnation)};
    const double comes = m_now + uniform(m_scenario.reportLateLeast, m_scenario.reportLateMost);
    for (const auto &each : m_routers) {
        if (uniform(0.0, 1.0) < m_scenario.reportLoss)
            continue;
        Routing::Router *router = each.get();
        at(comes, [this, router, engine, sampled] {
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
            const std::size_t known =
                std::min(m_routers[from]->endpoints().size(), m_routers[to]->endpoints().size());
            for (Routing::EndpointIndex i = 0; i < known; ++i)
                m_routers[to]->notePeerInFlight(from, i, m_routers[from]->loads().ownInFlight(i),
                                                mono());
        }
    }
}

/// Routers see the tokens of their streams come.
void FleetModel::progress()
{
    for (const Engine &engine : m_engines) {
        engine.model->forEachDecoding([this](const Job &job, double given) {
            Routing::SentWork &sent = m_flights[job.id].sent.work;
            const double remaining =
                std::max(expectedOutput - given, 0.0) * m_scenario.engine.outputWeight;
            if (sent.remaining > remaining)
                m_routers[job.router]->noteProgress(
                    &m_flights[job.id].sent, Base::WorkUnits(sent.remaining - remaining), mono());
        });
    }
}

void FleetModel::sample()
{
    double load = 0.0;
    double count = 0.0;
    for (const Engine &engine : m_engines) {
        if (!engine.up || engine.leaving)
            continue;
        load += engine.model->work();
        count += 1.0;
    }
    const double mean = load / std::max(count, 1.0);
    if (mean <= 0.0)
        return;
    const Routing::Router &router = *m_routers[m_random() % m_routers.size()];
    for (std::uint32_t i = 0; i < m_engines.size(); ++i) {
        if (!m_engines[i].up || m_engines[i].leaving)
            continue;
        const double work = m_engines[i].model->work();
        m_skews.push_back(work / mean);
        m_skewsLessOne.push_back((work - m_engines[i].model->largestJob()) / mean);
        if (i < router.candidates().size())
            m_errors.push_back(std::abs(router.candidates()[i].load - work) / mean);
    }
}

Figures FleetModel::figures()
{
    Figures result = m_figures;
    result.reuse = m_again > 0.0 ? m_cached / m_again : 0.0;
    result.hits =
        m_returning > 0 ? static_cast<double>(m_hits) / static_cast<double>(m_returning) : 0.0;
    result.skewP50 = quantile(m_skews, 0.5);
    result.skewP99 = quantile(m_skews, 0.99);
    result.skewMax = quantile(m_skews, 1.0);
    result.skewLessOneP99 = quantile(m_skewsLessOne, 0.99);
    result.waitMean = m_waits.empty() ? 0.0
                                      : std::accumulate(m_waits.begin(), m_waits.end(), 0.0)
            / static_cast<double>(m_waits.size());
    result.waitP95 = quantile(m_waits, 0.95);
    result.estimateErrorP50 = quantile(m_errors, 0.5);
    result.estimateErrorP99 = quantile(m_errors, 0.99);
    return result;
}

} // namespace Lagoonbank::PolicyModel
