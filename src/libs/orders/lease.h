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

/// One record of the stream `leases`.
struct LeaseRecord
{
    LeaseStep step = LeaseStep::Claim;
    Base::DataCentreId dataCentre;
    std::string holder; ///< Member id and incarnation.
    /// Claim: last record of this data centre that the claimant had read.
    std::optional<Base::LogOffset> base;
    /// Claim: first offset that the log still kept, so that a base lost to retention can be told.
    Base::LogOffset logFirst;
    /// Renew, Release: offset of the claim.
    Base::FencingNumber fencing;

    bool operator==(const LeaseRecord &) const = default;
};

/// The JSON text of a record in the log; and back, BadMessage if it is none.
std::string toText(const LeaseRecord &record);
Errors::Result<LeaseRecord> leaseRecordFromText(std::string_view text);

/// The lease of one data centre as every reader of the stream reduces it, by offsets alone.
class LeaseState
{
public:
    explicit LeaseState(Base::DataCentreId dataCentre)
        : m_dataCentre(std::move(dataCentre))
    { }

    /// Whether the record took effect. Records of other data centres and older offsets have none.
    bool apply(Base::LogOffset offset, const LeaseRecord &record);

    const std::string &holder() const { return m_holder; } ///< Empty if released or never claimed.
    std::optional<Base::FencingNumber> fencing() const { return m_fencing; }
    std::optional<Base::LogOffset> last() const { return m_last; }

private:
    bool isValidClaim(const LeaseRecord &record) const;

    Base::DataCentreId m_dataCentre;
    std::string m_holder;
    std::optional<Base::FencingNumber> m_fencing;
    std::optional<Base::LogOffset> m_last;
};

/// Gets, keeps and gives up the lease of one data centre. Pure: time, records and answers come in,
/// records to append go out.
///
/// Safety rests on two monotonic clocks that run at nearly the same rate, never on their values:
/// the holder counts its term from before it sent the record, a follower from after it read it.
class LeaseKeeper
{
public:
    struct Options
    {
        Base::DataCentreId dataCentre;
        std::string holder; ///< Unique for each start of a process.
        Base::Duration term = std::chrono::seconds(9);
        Base::Duration margin = std::chrono::seconds(1); ///< For clocks that drift.
        Base::Duration renewPeriod = std::chrono::seconds(3);
        Base::Duration retryPeriod = std::chrono::seconds(1); ///< After a failed append.
        /// Longest time from the sending of an order to its effect.
        Base::Duration longestOrder = std::chrono::seconds(5);
    };

    LeaseKeeper(Options options, Base::MonoTime now);

    /// A record is to be appended with this id; the same id may be asked for again.
    std::function<void(const std::string &id, const LeaseRecord &record)> appendRequested;
    std::function<void(Base::FencingNumber fencing)> gained;
    std::function<void()> lost;

    void recordRead(Base::LogOffset offset, const std::string &id, const LeaseRecord &record,
                    Base::MonoTime now);
    /// The log answered a read up to its end; \a first is the oldest offset that it keeps.
    void caughtUp(Base::LogOffset first);
    /// The log could not be read; no claim until it can.
    void logFailed() { m_isCaughtUp = false; }
    /// Claims when the lease is free and this controller is a candidate, renews when it is time.
    void advance(bool isCandidate, Base::MonoTime now);
    /// Gives the lease up; only once no order is under way.
    void release(Base::MonoTime now);

    /// The number to send an order with, at this very moment; to be asked just before the first
    /// byte leaves. None if the lease is not held now, whatever was believed before; for endpoints
    /// that ignore fencing numbers also none until the old holder's last order has run out.
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
    bool m_isGained = false;
    Base::MonoTime m_claimableAt; ///< When a follower may claim.
    Base::MonoTime m_heldUntil{}; ///< By this process's clock, less the margin.
    Base::MonoTime m_uncheckedOrdersFrom{}; ///< For endpoints that ignore fencing numbers.
    Base::MonoTime m_lastAttemptAt{};
    std::string m_pendingId; ///< Of the record whose fate is not known.
    LeaseRecord m_pending;
    Base::MonoTime m_pendingSince{};
    std::uint64_t m_appendCount = 0;
};

} // namespace Lagoonbank::Orders
