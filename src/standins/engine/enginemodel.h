#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "runtime/clock.h"
#include "standins/engine/blockhashchain.h"
#include "standins/engine/cacheeventlog.h"
#include "standins/engine/prefixcache.h"
#include "standins/support/ledger.h"
#include "standins/support/loadhistory.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lagoonbank::Standins {

/// Sequence number of a run at one engine.
using RunNumber = Base::StrongNumber<struct RunNumberTag, std::uint64_t>;

/// A request to generate tokens.
struct Generation
{
    Base::RequestId requestId;
    Base::ChatId chat;
    std::string prompt;
    Base::Tokens maxTokens;
    int priority = 0; ///< 0 is the most urgent.
    bool afterDrain = false; ///< Whether the engine was draining when the request arrived.
};

/// Progress of one run.
struct RunProgress
{
    Base::RequestId requestId;
    Base::Tokens produced;
    Base::Tokens promptTokens;
    Base::Tokens cachedTokens;
    RunState state = RunState::Running;
};

/// Model of an engine with continuous batching: in each step, every request of the batch reads a
/// share of its prompt and, once its prompt is read, produces one token. advance() runs the steps
/// that are due by the clock; no call blocks.
class EngineModel
{
public:
    struct Options
    {
        const Runtime::Clock *clock = nullptr;
        std::size_t maxBatchRequests = 16;
        std::size_t maxQueuedRequests = 1024;
        Base::Duration step = std::chrono::milliseconds(5);
        double prefillTokensPerMs = 20; ///< Shared by all requests of the batch.
        std::size_t cacheBlocks = 4096;
        CacheEventLog::Options events;
        Base::Duration loadLag{};
        Base::WorkUnits capacity; ///< 0 for the work of a full batch of average requests.
        Base::Duration endedRunRetention = std::chrono::seconds(30);
        std::size_t maxEndedRuns = 20000;
        std::size_t maxLedgerEntries = 200000;
    };

    explicit EngineModel(const Options &options);

    /// Called from advance() and cancel() for each run that has new tokens or has ended.
    std::function<void(RunNumber run)> progressed;

    /// Queues a run; empty if the queue is full. If a request id is submitted again, find() returns
    /// its latest run.
    std::optional<RunNumber> submit(const Generation &generation);
    /// Cancels the request's run; false if it is unknown or has ended.
    bool cancel(const Base::RequestId &requestId);
    /// Drops the run as a crash would: find() no longer returns it.
    void crash(RunNumber run);
    /// Removes an ended run, which can no longer be resumed.
    void forget(RunNumber run);

    std::optional<RunNumber> find(const Base::RequestId &requestId) const;
    std::optional<RunProgress> progressOf(RunNumber run) const;

    /// Runs the steps that are due, up to `maxCatchUpSteps` of them; skips the rest.
    void advance();
    /// Time at which the next step is due; empty while idle.
    std::optional<Base::MonoTime> nextStepTime() const;
    /// Multiplies the duration of each step by \a factor.
    void setSlowFactor(double factor) { m_slowFactor = factor; }

    bool isIdle() const { return m_batch.empty() && m_queue.empty(); }
    LoadReport load() const;
    Base::WorkUnits capacity() const;
    CacheEventLog::Page cacheEvents(std::uint64_t from) const;
    std::optional<std::vector<BlockHash>> exportChat(const Base::ChatId &chat) const;
    void importChat(const Base::ChatId &chat, const std::vector<BlockHash> &chain);
    Ledger &ledger() { return m_ledger; }

private:
    struct Run
    {
        RunNumber number;
        Base::RequestId requestId;
        std::string tokenHash;
        Base::ChatId chat;
        BlockHashChain chain;
        std::pair<int, std::uint64_t> queueKey; ///< Priority, then order of arrival.
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
        std::int64_t remainingPrefillTokens = 0;
        std::int64_t maxTokens = 0;
        std::int64_t produced = 0;
        RunState state = RunState::Running;
        Ledger::Number ledgerNumber = 0;
    };
    struct EndedRun
    {
        Base::MonoTime endedAt;
        RunNumber run;
    };

    Base::Duration stepDuration() const;
    void step();
    void admit();
    void startPrefill(Run &run);
    /// Reads prompt tokens within \a budget; returns whether the run's prompt is read.
    bool prefill(Run &run, double &budget);
    void produceToken(Run &run);
    void end(Run &run, RunState state);
    void removeFromSchedule(const Run &run);
    void dropExpiredRuns();
    double workOf(const Run &run) const;
    void recordLoad();
    void notifyProgress();

    Options m_options;
    PrefixCache m_cache;
    CacheEventLog m_events;
    LoadHistory m_loadHistory;
    Ledger m_ledger;
    double m_slowFactor = 1;
    double m_prefillCarry = 0;
    double m_pendingWork = 0;
    std::uint64_t m_lastRunNumber = 0;
    Base::MonoTime m_nextStepTime;
    absl::flat_hash_map<RunNumber, std::unique_ptr<Run>> m_runs;
    absl::flat_hash_map<Base::RequestId, RunNumber> m_runByRequest;
    std::map<std::pair<int, std::uint64_t>, Run *> m_queue;
    std::vector<Run *> m_batch;
    std::deque<EndedRun> m_endedRuns;
    std::vector<RunNumber> m_changedRuns;
};

} // namespace Lagoonbank::Standins
