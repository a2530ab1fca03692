#include "standins/engine/enginemodel.h"

#include "standins/engine/tokentext.h"

#include <algorithm>

namespace Lagoonbank::Standins {

namespace {

constexpr double workPerOutputToken = 8;
constexpr double averageWorkPerRequest = 512;
constexpr int maxCatchUpSteps = 20;
constexpr std::string_view answerRole = "assistant";

} // namespace

EngineModel::EngineModel(const Options &options)
    : m_options(options)
    , m_cache(options.cacheBlocks)
    , m_events(options.events)
    , m_loadHistory(options.loadLag, options.clock->now())
    , m_ledger(options.maxLedgerEntries)
{
    m_cache.stored = [this](const Base::ChatId &chat, Base::Tokens cached) {
        m_events.append(m_options.clock->now(), CacheOp::Stored, chat, cached);
    };
    m_cache.evicted = [this](const Base::ChatId &chat, Base::Tokens remaining) {
        m_events.append(m_options.clock->now(), CacheOp::Evicted, chat, remaining);
    };
}

std::optional<RunNumber> EngineModel::submit(const Generation &generation)
{
    if (m_queue.size() >= m_options.maxQueuedRequests)
        return std::nullopt;
    if (isIdle()) {
        m_nextStepTime = m_options.clock->now() + stepDuration();
        m_prefillCarry = 0;
    }
    const RunNumber number{++m_lastRunNumber};
    auto owned = std::make_unique<Run>();
    Run &run = *owned;
    run.number = number;
    run.requestId = generation.requestId;
    run.tokenHash = shortHash(generation.requestId);
    run.chat = generation.chat;
    run.chain.appendText(generation.prompt);
    run.queueKey = {generation.priority, number.value()};
    run.promptTokens = static_cast<std::int64_t>(run.chain.tokenCount());
    run.maxTokens = generation.maxTokens.value();
    run.cachedTokens = m_cache.cachedTokens(run.chain.hashes()).value();
    run.remainingPrefillTokens = run.promptTokens - run.cachedTokens;
    run.ledgerNumber = m_ledger.begin({.requestId = run.requestId,
                                       .chat = run.chat,
                                       .started = m_options.clock->wallNow(),
                                       .promptTokens = Base::Tokens(run.promptTokens),
                                       .afterDrain = generation.afterDrain});
    m_pendingWork += workOf(run);
    m_queue.emplace(run.queueKey, &run);
    m_runByRequest[run.requestId] = number;
    m_runs.emplace(number, std::move(owned));
    recordLoad();
    return number;
}

bool EngineModel::cancel(const Base::RequestId &requestId)
{
    const std::optional<RunNumber> number = find(requestId);
    if (!number)
        return false;
    Run &run = *m_runs.at(*number);
    if (run.state != RunState::Running)
        return false;
    removeFromSchedule(run);
    end(run, RunState::Cancelled);
    recordLoad();
    notifyProgress();
    return true;
}

void EngineModel::crash(RunNumber number)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end())
        return;
    if (found->second->state == RunState::Running) {
        removeFromSchedule(*found->second);
        end(*found->second, RunState::Crashed);
        std::erase(m_changedRuns, number);
        recordLoad();
    }
    forget(number);
}

void EngineModel::forget(RunNumber number)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end() || found->second->state == RunState::Running)
        return;
    const auto byRequest = m_runByRequest.find(found->second->requestId);
    if (byRequest != m_runByRequest.end() && byRequest->second == number)
        m_runByRequest.erase(byRequest);
    m_runs.erase(found);
}

std::optional<RunNumber> EngineModel::find(const Base::RequestId &requestId) const
{
    const auto found = m_runByRequest.find(requestId);
    if (found == m_runByRequest.end())
        return std::nullopt;
    return found->second;
}

std::optional<RunProgress> EngineModel::progressOf(RunNumber number) const
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end())
        return std::nullopt;
    const Run &run = *found->second;
    return RunProgress{run.requestId, Base::Tokens(run.produced), Base::Tokens(run.promptTokens),
                       Base::Tokens(run.cachedTokens), run.state};
}

void EngineModel::advance()
{
    const Base::MonoTime now = m_options.clock->now();
    int steps = 0;
    while (!isIdle() && m_nextStepTime <= now) {
        step();
        m_nextStepTime += stepDuration();
        notifyProgress();
        if (++steps < maxCatchUpSteps)
            continue;
        m_nextStepTime = now + stepDuration();
    }
    dropExpiredRuns();
}

std::optional<Base::MonoTime> EngineModel::nextStepTime() const
{
    if (isIdle())
        return std::nullopt;
    return m_nextStepTime;
}

Base::Duration EngineModel::stepDuration() const
{
    return std::chrono::duration_cast<Base::Duration>(m_options.step * m_slowFactor);
}

void EngineModel::step()
{
    admit();
    const double stepMs = Base::toSeconds(m_options.step) * 1000;
    double budget = m_options.prefillTokensPerMs * stepMs + m_prefillCarry;
    for (Run *run : m_batch) {
        if (prefill(*run, budget))
            produceToken(*run);
    }
    // Carry a fraction of a token over to the next step so that a slow prefill makes progress.
    m_prefillCarry = std::min(budget, 1.0);
    std::erase_if(m_batch, [](const Run *run) { return run->state != RunState::Running; });
    recordLoad();
}

void EngineModel::admit()
{
    while (m_batch.size() < m_options.maxBatchRequests && !m_queue.empty()) {
        Run &run = *m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        m_batch.push_back(&run);
        startPrefill(run);
    }
}

void EngineModel::startPrefill(Run &run)
{
    // The cache may have changed while the request waited.
    m_pendingWork -= workOf(run);
    run.cachedTokens = m_cache.cachedTokens(run.chain.hashes()).value();
    run.remainingPrefillTokens = run.promptTokens - run.cachedTokens;
    m_pendingWork += workOf(run);
    if (LedgerEntry *entry = m_ledger.find(run.ledgerNumber))
        entry->cachedTokens = Base::Tokens(run.cachedTokens);
}

bool EngineModel::prefill(Run &run, double &budget)
{
    if (run.produced > 0)
        return true;
    const std::int64_t share =
        std::min(run.remainingPrefillTokens, static_cast<std::int64_t>(budget));
    run.remainingPrefillTokens -= share;
    m_pendingWork -= static_cast<double>(share);
    budget -= static_cast<double>(share);
    if (run.remainingPrefillTokens > 0)
        return false;
    m_cache.store(run.chat, run.chain.hashes());
    run.chain.appendToken(answerRole);
    return true;
}

void EngineModel::produceToken(Run &run)
{
    run.chain.appendText(tokenText(run.tokenHash, run.produced));
    ++run.produced;
    m_pendingWork -= workPerOutputToken;
    if (run.produced == run.maxTokens) {
        m_cache.store(run.chat, run.chain.hashes());
        end(run, RunState::Whole);
        return;
    }
    m_changedRuns.push_back(run.number);
}

void EngineModel::end(Run &run, RunState state)
{
    m_pendingWork -= workOf(run);
    run.state = state;
    run.chain = BlockHashChain();
    if (LedgerEntry *entry = m_ledger.find(run.ledgerNumber))
        entry->tokens = Base::Tokens(run.produced);
    m_ledger.end(run.ledgerNumber, state, m_options.clock->wallNow());
    m_endedRuns.push_back({m_options.clock->now(), run.number});
    m_changedRuns.push_back(run.number);
}

void EngineModel::removeFromSchedule(const Run &run)
{
    std::erase(m_batch, &run);
    m_queue.erase(run.queueKey);
}

void EngineModel::dropExpiredRuns()
{
    const Base::MonoTime cutoff = m_options.clock->now() - m_options.endedRunRetention;
    while (
        !m_endedRuns.empty()
        && (m_endedRuns.front().endedAt < cutoff || m_endedRuns.size() > m_options.maxEndedRuns)) {
        forget(m_endedRuns.front().run);
        m_endedRuns.pop_front();
    }
}

double EngineModel::workOf(const Run &run) const
{
    return static_cast<double>(run.remainingPrefillTokens)
        + workPerOutputToken * static_cast<double>(run.maxTokens - run.produced);
}

void EngineModel::recordLoad()
{
    double largest = 0;
    for (const Run *run : m_batch)
        largest = std::max(largest, workOf(*run));
    m_loadHistory.record(
        m_options.clock->now(),
        {m_batch.size(), m_queue.size(), Base::WorkUnits(m_pendingWork), Base::WorkUnits(largest)});
}

LoadReport EngineModel::load() const
{
    return m_loadHistory.report(m_options.clock->now());
}

Base::WorkUnits EngineModel::capacity() const
{
    if (m_options.capacity.value() > 0)
        return m_options.capacity;
    return Base::WorkUnits(static_cast<double>(m_options.maxBatchRequests) * averageWorkPerRequest);
}

CacheEventLog::Page EngineModel::cacheEvents(std::uint64_t from) const
{
    return m_events.read(from, m_options.clock->now());
}

std::optional<std::vector<BlockHash>> EngineModel::exportChat(const Base::ChatId &chat) const
{
    return m_cache.chainOf(chat);
}

void EngineModel::importChat(const Base::ChatId &chat, const std::vector<BlockHash> &chain)
{
    m_cache.store(chat, chain);
}

void EngineModel::notifyProgress()
{
    std::vector<RunNumber> changed;
    changed.swap(m_changedRuns);
    if (!progressed)
        return;
    for (const RunNumber run : changed)
        progressed(run);
}

} // namespace Lagoonbank::Standins
