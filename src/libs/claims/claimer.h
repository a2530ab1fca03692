#pragma once

#include "claims/claim.h"
#include "claims/claimtable.h"
#include "platformclient/appendattempt.h"
#include "platformclient/backoff.h"
#include "platformclient/record.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Lagoonbank::Claims {

/// What the contract wants where the log takes no claims.
enum class LogOutPolicy : std::uint8_t {
    Refuse,
    LocalOnly ///< Run it if this router knows of no other run; weaker than a claim.
};

/// Whether a request may run.
enum class Verdict : std::uint8_t {
    Granted, ///< It may run once, and finish() has to be called then.
    GrantedLocally, ///< The same, but protected on this router alone.
    Running, ///< Another request of the same matter may be running; this one did not.
    Ended, ///< Another request ran; its outcome is given.
    Unknown, ///< Another request may have run; nobody knows.
    KeyReused, ///< The key belongs to a different call; this one did not run.
    Unavailable ///< No claim could be made; this one did not run.
};

struct Decision
{
    Verdict verdict = Verdict::Unavailable;
    Outcome outcome; ///< With Ended.
    Base::RequestId holder; ///< With Running, Ended, Unknown and KeyReused.
};

/// The error kind for a verdict that is neither a grant nor Ended.
Errors::ErrorKind errorKind(Verdict verdict);

/// Makes claims on the log so that each matter runs at most once over all routers. The log's
/// stream is the judge: a request is granted only when its claim is read back as the first.
class Claimer
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        ClaimTable::Options table;
        /// Queues a record for the stream of claims, as BatchAppender::add. Its callbacks must not
        /// come after the claimer is gone.
        std::function<bool(PlatformClient::Record,
                           std::function<void(PlatformClient::AppendOutcome)>)>
            append;
        ClaimTable::IsGone isGone;
        std::size_t maxPending = 10'000; ///< Claims that wait for the log.
        std::size_t maxUnrecorded = 20'000; ///< Outcomes that wait for the log.
        PlatformClient::Backoff::Options backoff; ///< For outcomes that the log did not take.
    };
    using DecisionCallback = std::function<void(const Decision &)>;
    using PendingId = Base::StrongNumber<struct PendingClaimTag, std::uint64_t>;

    explicit Claimer(const Options &options);
    ~Claimer();
    Claimer(const Claimer &) = delete;
    Claimer &operator=(const Claimer &) = delete;

    /// Whether the stream is read up to its end and the log answers.
    void setLogUsable(bool isUsable) { m_isLogUsable = isUsable; }
    /// The next record of the stream of claims.
    void recordReceived(const PlatformClient::StoredRecord &record);

    /// Asks for \a claim; waits up to \a timeout for the log and for the outcome of another
    /// request that holds it. \a decided is called once, later.
    PendingId claim(const Claim &claim, LogOutPolicy policy, Base::Duration timeout,
                    DecisionCallback decided);
    /// The caller left before a decision; \a decided is not called any more.
    void cancel(PendingId pending);
    /// Records what became of a granted request, also where it did not run after all.
    void finish(const Claim &claim, Outcome outcome);

    const ClaimTable &table() const { return m_table; }
    std::size_t pending() const { return m_pending.size(); }
    std::size_t unrecorded() const { return m_unrecorded.size(); }
    /// Records that could not be read and outcomes that were given up, since the start.
    std::uint64_t skippedRecords() const { return m_skippedRecords; }
    std::uint64_t droppedOutcomes() const { return m_droppedOutcomes; }

private:
    struct Pending
    {
        Claim claim;
        LogOutPolicy policy = LogOutPolicy::Refuse;
        DecisionCallback decided;
        Runtime::TimerId deadline;
        bool isSent = false;
        bool isRead = false; ///< Its claim came back from the log.
    };

    void startClaim(PendingId id);
    void appendClaim(PendingId id);
    void appended(PendingId id, PlatformClient::AppendState state);
    void expire(PendingId id);
    void decideWithoutLog(PendingId id);
    bool decideFromTable(PendingId id);
    void decideWaiting(const ClaimKey &key);
    void holderReleased(PendingId id);
    void decide(PendingId id, const Decision &decision);
    Pending removePending(PendingId id);
    void abandon(const Pending &pending);
    void appendOutcome(std::uint64_t id);
    void outcomeAppended(std::uint64_t id, PlatformClient::AppendState state);
    ClaimStatus claimStatus(const Claim &claim) const;
    Base::MonoTime now() const { return m_options.timers->clock().now(); }

    Options m_options;
    ClaimTable m_table;
    PlatformClient::Backoff m_backoff;
    bool m_isLogUsable = false;
    std::uint64_t m_lastId = 0;
    absl::flat_hash_map<PendingId, Pending> m_pending;
    absl::flat_hash_map<ClaimKey, std::vector<PendingId>> m_pendingByKey;
    struct Unrecorded
    {
        PlatformClient::Record record;
        Runtime::TimerId retry;
    };
    absl::flat_hash_map<std::uint64_t, Unrecorded> m_unrecorded;
    std::uint64_t m_skippedRecords = 0;
    std::uint64_t m_droppedOutcomes = 0;
};

} // namespace Lagoonbank::Claims
