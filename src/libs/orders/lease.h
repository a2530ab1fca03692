#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Orders {

enum class LeaseStep : std::uint8_t { Claim, Renew, Release };

/// One record of the log stream `leases`.
struct LeaseRecord
{
    LeaseStep step = LeaseStep::Claim;
    Base::DataCentreId dataCentre;
    std::string holder; ///< Member id and incarnation.
    /// Set for Claim: offset of the data centre's last record that the claimant had read.
    std::optional<Base::LogOffset> base;
    /// Set for Claim: first offset that the log still kept, which shows whether a base was removed
    /// by retention.
    Base::LogOffset logFirst;
    /// Set for Renew and Release: offset of the claim.
    Base::FencingNumber fencing;

    bool operator==(const LeaseRecord &) const = default;
};

/// Converts a record to its JSON text in the log and back; fails with BadMessage if the text is not
/// a valid record.
std::string toText(const LeaseRecord &record);
Errors::Result<LeaseRecord> leaseRecordFromText(std::string_view text);

/// State of the lease of one data centre. Depends on the records and their offsets alone, so that
/// all readers of the stream agree on it.
class LeaseState
{
public:
    explicit LeaseState(Base::DataCentreId dataCentre)
        : m_dataCentre(std::move(dataCentre))
    { }

    /// Returns whether the record took effect. Records of other data centres and records that are
    /// not newer than the last one have no effect.
    bool apply(Base::LogOffset offset, const LeaseRecord &record);

    const std::string &holder() const { return m_holder; } ///< Empty if released or never claimed.
    std::optional<Base::FencingNumber> fencing() const { return m_fencing; }
    std::optional<Base::LogOffset> lastOffset() const { return m_lastOffset; }

private:
    bool isValidClaim(const LeaseRecord &record) const;

    Base::DataCentreId m_dataCentre;
    std::string m_holder;
    std::optional<Base::FencingNumber> m_fencing;
    std::optional<Base::LogOffset> m_lastOffset;
};

/// Acquires, renews and releases the lease of one data centre. Does no I/O and reads no clock: the
/// caller passes in the time and the records read, and appends the requested records.
///
/// Safety requires the monotonic clocks of two controllers to run at nearly the same rate, but does
/// not depend on their values: the holder measures its term from the time before it sent its last
/// claim or renewal, and a follower from the time after it has read that record, which is later.
class LeaseKeeper
{
public:
    struct Options
    {
        Base::DataCentreId dataCentre;
        std::string holder; ///< Unique for each process start.
        Base::Duration term = std::chrono::seconds(9);
        Base::Duration margin = std::chrono::seconds(1); ///< Allowance for clock drift.
        Base::Duration renewPeriod = std::chrono::seconds(3);
        /// Time until a failed append is retried.
        Base::Duration retryPeriod = std::chrono::seconds(1);
        /// Longest time from the sending of an order to its effect.
        Base::Duration longestOrder = std::chrono::seconds(5);
    };

    LeaseKeeper(Options options, Base::MonoTime now);

    /// Called to append a record to the log under an id; a retry of the append has the same id.
    std::function<void(const std::string &id, const LeaseRecord &record)> appendRequested;
    std::function<void(Base::FencingNumber fencing)> gained;
    std::function<void()> lost;

    void recordRead(Base::LogOffset offset, const std::string &id, const LeaseRecord &record,
                    Base::MonoTime now);
    /// To be called when the log was read up to its end; \a first is the oldest offset that it
    /// keeps.
    void caughtUp(Base::LogOffset first);
    /// To be called when reading the log failed. Suspends claims, renewals and retries until the
    /// next caughtUp().
    void logFailed() { m_isCaughtUp = false; }
    /// Claims the lease if it is free and this controller is a candidate, and renews it when due.
    void advance(bool isCandidate, Base::MonoTime now);
    /// Releases the lease; to be called only while no order is in flight.
    void release(Base::MonoTime now);

    /// The fencing number for an order sent at \a now; to be called right before the first byte is
    /// sent. No value if the lease is not held at \a now. For endpoints that ignore fencing
    /// numbers, also no value until the last order of the previous holder can no longer take
    /// effect.
    std::optional<Base::FencingNumber> mayOrder(bool endpointChecksFencing,
                                                Base::MonoTime now) const;
    const LeaseState &state() const { return m_state; }

private:
    bool isHolder() const;
    void append(LeaseRecord record, Base::MonoTime now);

    Options m_options;
    LeaseState m_state;
    Base::LogOffset m_logFirst;
    bool m_isCaughtUp = false;
    bool m_isGained = false; ///< gained() was called, lost() not yet.
    Base::MonoTime m_claimableAt; ///< Earliest time at which a follower may claim.
    Base::MonoTime m_heldUntil{}; ///< By this process's clock, minus the margin.
    /// Earliest time of an order to an endpoint that ignores fencing numbers.
    Base::MonoTime m_uncheckedOrdersFrom{};
    Base::MonoTime m_lastAttemptAt{};
    std::string m_pendingId; ///< Id of the appended record not yet read back; may be empty.
    LeaseRecord m_pendingRecord; ///< The record with the id m_pendingId.
    Base::MonoTime m_pendingSince{};
    std::uint64_t m_appendCount = 0;
};

} // namespace Lagoonbank::Orders
