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

/// The contract's policy for requests that arrive during an outage of the log, when no claim can be
/// appended.
enum class LogOutPolicy : std::uint8_t {
    Refuse,
    LocalOnly ///< Run the request if this router knows of no other run; weaker than a claim.
};

/// Result of a claim: whether the request may run.
enum class Verdict : std::uint8_t {
    Granted, ///< The request may run once; finish() has to be called afterwards.
    GrantedLocally, ///< Like Granted, but only this router prevents a second run.
    Running, ///< Another request of the operation may be running; this one did not run.
    Ended, ///< Another request has run; its outcome is set.
    Unknown, ///< Another request may or may not have run.
    KeyReused, ///< The key belongs to a different call; this one did not run.
    Unavailable ///< No claim could be made; the request did not run.
};

struct Decision
{
    Verdict verdict = Verdict::Unavailable;
    Outcome outcome; ///< Set for Ended.
    Base::RequestId holder; ///< Set for Running, Ended, Unknown and KeyReused.
};

/// Error kind of a verdict that is neither a grant nor Ended.
Errors::ErrorKind errorKind(Verdict verdict);

/// Appends claims to the log so that each operation runs at most once over all routers. The order
/// of the log decides: a request is granted only once its claim is read back as the first one.
class Claimer
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        ClaimTable::Options table;
        /// Queues a record for the stream of claims, like BatchAppender::add. Callbacks must not be
        /// called after the claimer is destroyed.
        std::function<bool(PlatformClient::Record,
                           std::function<void(PlatformClient::AppendOutcome)>)>
            append;
        ClaimTable::IsGone isGone;
        std::size_t maxPendingClaims = 10'000; ///< Maximum number of undecided claims.
        /// Maximum number of outcomes not yet appended.
        std::size_t maxUnrecordedOutcomes = 20'000;
        /// Delay before an outcome whose append failed is appended again.
        PlatformClient::Backoff::Options backoff;
    };
    using DecisionCallback = std::function<void(const Decision &)>;
    using PendingId = Base::StrongNumber<struct PendingClaimTag, std::uint64_t>;

    explicit Claimer(const Options &options);
    ~Claimer();
    Claimer(const Claimer &) = delete;
    Claimer &operator=(const Claimer &) = delete;

    /// Sets whether the stream is read up to its end and the log responds.
    void setLogUsable(bool isUsable) { m_isLogUsable = isUsable; }
    /// To be called with each record of the stream of claims, in order.
    void recordReceived(const PlatformClient::StoredRecord &record);

    /// Requests \a claim and waits up to \a timeout for the log, or for the outcome of another
    /// request that holds the key. \a decided is called once, never from within this function.
    PendingId claim(const Claim &claim, LogOutPolicy policy, Base::Duration timeout,
                    DecisionCallback decided);
    /// Cancels an undecided claim, as its caller has disconnected; its callback is not called.
    void cancel(PendingId pending);
    /// Records the outcome of a granted request, also if it did not run in the end.
    void finish(const Claim &claim, Outcome outcome);

    const ClaimTable &table() const { return m_table; }
    std::size_t pending() const { return m_pending.size(); }
    std::size_t unrecorded() const { return m_unrecorded.size(); }
    /// Number of records that could not be parsed.
    std::uint64_t skippedRecords() const { return m_skippedRecords; }
    /// Number of outcomes that were dropped because maxUnrecordedOutcomes were waiting to be
    /// appended.
    std::uint64_t droppedOutcomes() const { return m_droppedOutcomes; }

private:
    struct Pending
    {
        Claim claim;
        LogOutPolicy policy = LogOutPolicy::Refuse;
        DecisionCallback decided;
        Runtime::TimerId deadline;
        bool isSent = false;
        bool isRead = false; ///< The claim was read back from the log.
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
