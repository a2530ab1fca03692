#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "runtime/clock.h"
#include "standins/engine/blockchain.h"
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

/// Counts the runs of one engine.
using RunNumber = Base::StrongNumber<struct RunNumberTag, std::uint64_t>;

/// One request for tokens.
struct Generation
{
    Base::RequestId requestId;
    Base::ChatId chat;
    std::string prompt;
    Base::Tokens maxTokens;
    int priority = 0; ///< 0 is most urgent.
    bool afterDrain = false;
};

/// How far one run is.
struct RunView
{
    Base::RequestId requestId;
    Base::Tokens produced;
    Base::Tokens promptTokens;
    Base::Tokens cachedTokens;
    RunState state = RunState::Running;
};

/// An engine that batches continuously: in each step every request of the batch gets a share of
/// the prompt reading or one token. Steps happen in advance(), on the clock; nothing else waits.
class EngineModel
{
public:
    struct Options
    {
        const Runtime::Clock *clock = nullptr;
        std::size_t maxBatch = 16;
        std::size_t maxQueue = 1024;
        Base::Duration step = std::chrono::milliseconds(5);
        double prefillTokensPerMs = 20; ///< Of the whole engine.
        std::size_t cacheBlocks = 4096;
        CacheEventLog::Options events;
        Base::Duration loadLag{};
        Base::WorkUnits capacity; ///< 0: a full batch of average requests.
        Base::Duration keepEnded = std::chrono::seconds(30);
        std::size_t maxEnded = 20000;
        std::size_t maxLedger = 200000;
    };

    explicit EngineModel(const Options &options);

    /// A run has new tokens or has ended; called from advance() and cancel(), after the step.
    std::function<void(RunNumber run)> progressed;

    /// Nothing if the queue is full. The same request id may run again; the last run counts.
    std::optional<RunNumber> submit(const Generation &generation);
    /// Ends the request's run if it still goes on; whether it did.
    bool cancel(const Base::RequestId &requestId);
    /// Loses the run as a crash would: it can't be found any more.
    void crash(RunNumber run);
    /// Forgets an ended run, so that it can't be resumed.
    void forget(RunNumber run);

    std::optional<RunNumber> find(const Base::RequestId &requestId) const;
    std::optional<RunView> view(RunNumber run) const;

    /// Does all steps that are due. Steps missed by more than a few are left out.
    void advance();
    /// When the next step is due; nothing while no request is there.
    std::optional<Base::MonoTime> nextStep() const;
    /// Makes each step take \a factor times as long.
    void setSlowness(double factor) { m_slowness = factor; }

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
        BlockChain chain;
        std::pair<int, std::uint64_t> place; ///< In the queue: priority, then arrival.
        std::int64_t promptTokens = 0;
        std::int64_t cachedTokens = 0;
        std::int64_t prefillLeft = 0;
        std::int64_t maxTokens = 0;
        std::int64_t produced = 0;
        RunState state = RunState::Running;
        Ledger::Number ledger = 0;
    };
    struct Ended
    {
        Base::MonoTime time;
        RunNumber run;
    };

    Base::Duration stepTime() const;
    void step();
    void admit();
    void startPrefill(Run &run);
    /// Whether the run's prompt is read, after taking its share of \a budget.
    bool prefill(Run &run, double &budget);
    void produce(Run &run);
    void end(Run &run, RunState state);
    void takeOut(const Run &run);
    void dropOldEnded();
    double workOf(const Run &run) const;
    void recordLoad();
    void notify();

    Options m_options;
    PrefixCache m_cache;
    CacheEventLog m_events;
    LoadHistory m_loadHistory;
    Ledger m_ledger;
    double m_slowness = 1;
    double m_prefillCarry = 0;
    double m_work = 0;
    std::uint64_t m_lastRun = 0;
    Base::MonoTime m_nextStep;
    absl::flat_hash_map<RunNumber, std::unique_ptr<Run>> m_runs;
    absl::flat_hash_map<Base::RequestId, RunNumber> m_byRequest;
    std::map<std::pair<int, std::uint64_t>, Run *> m_queue;
    std::vector<Run *> m_batch;
    std::deque<Ended> m_ended;
    std::vector<RunNumber> m_changed;
};

} // namespace Lagoonbank::Standins
