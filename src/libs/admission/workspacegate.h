#pragma once

#include "admission/gcra.h"
#include "admission/limits.h"
#include "admission/refusal.h"
#include "base/ids.h"

#include <memory>
#include <optional>
#include <string>

namespace Lagoonbank::Admission {

/// Properties of a call that admission checks.
struct Call
{
    std::string priority; ///< Name; if empty, the contract's default applies.
    std::optional<Base::Duration> deadline; ///< Relative to now; the contract's default if not set.
    std::string service; ///< Name of the plain service; empty for a model call.
    Base::Tokens estimatedTokens; ///< Prompt and expected output; zero for a plain service.
};

class WorkspaceGate;

/// Holds one slot of the concurrency limit and the charges of one admitted call. The destructor
/// frees the slot; a charge that was not settled stays at the estimate.
class Ticket
{
public:
    Ticket() = default;
    Ticket(std::weak_ptr<WorkspaceGate> gate, Base::Tokens estimate, Base::MonoTime admitted);
    Ticket(const Ticket &) = delete;
    Ticket(Ticket &&other) noexcept;
    Ticket &operator=(const Ticket &) = delete;
    Ticket &operator=(Ticket &&other) noexcept;
    ~Ticket();

    bool isHeld() const { return m_held; }
    /// To be called when the call ended after it ran: charges the difference between \a actual and
    /// the estimate, and frees the slot.
    void settle(Base::Tokens actual, Base::MonoTime now);
    /// To be called when the call never ran: refunds all charges and frees the slot.
    void refund(Base::MonoTime now);

private:
    void drop();

    std::weak_ptr<WorkspaceGate> m_gate;
    Base::Tokens m_estimate;
    Base::MonoTime m_admittedAt{};
    bool m_held = false;
};

/// Result for an admitted call.
struct Admitted
{
    Ticket ticket;
    int priorityLevel = 0; ///< 0 is the most urgent.
    std::string priority;
    /// Not set if neither the call nor the contract has a deadline.
    std::optional<Base::MonoTime> deadline;
};

using AdmitResult =
    boost::outcome_v2::basic_result<Admitted, Refusal, boost::outcome_v2::policy::terminate>;

/// Recent demand of a workspace, in units per second and slots; includes refused calls.
struct Demand
{
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    double concurrency = 0;
};

/// Enforces this router's share of one workspace's limits.
class WorkspaceGate : public std::enable_shared_from_this<WorkspaceGate>
{
public:
    WorkspaceGate(WorkspaceLimits limits, Base::MonoTime now);

    const WorkspaceLimits &limits() const { return m_limits; }
    void setLimits(WorkspaceLimits limits, Base::MonoTime now);

    /// Fraction of each fleet-wide limit that this router may use, 0 to 1. The request burst is at
    /// least one and the number of slots is rounded up, so that a small share still admits a call.
    double share() const { return m_share; }
    void setShare(double share, Base::MonoTime now);

    /// Admits the call and charges it, or refuses it and charges nothing.
    AdmitResult admit(const Call &call, Base::MonoTime now);

    int running() const { return m_running; }
    /// This router's share of the concurrency limit; 0 also if there is no concurrency limit.
    int slots() const;
    Demand demand(Base::MonoTime now) const;
    /// Highest demand relative to the fleet-wide limit: 1 means that the demand equals one limit.
    double demandedShare(Base::MonoTime now) const;

private:
    friend class Ticket;

    void applyShare(Base::MonoTime now);
    void recordArrival(const Call &call, Base::MonoTime now);
    double decayedRate(double rate, Base::MonoTime now) const;
    std::optional<Refusal> checkService(const Call &call) const;
    std::optional<Refusal> choosePriority(const Call &call, Admitted &admitted) const;
    std::optional<Refusal> chooseDeadline(const Call &call, Base::MonoTime now,
                                          Admitted &admitted) const;
    std::optional<Refusal> checkConcurrency(Base::MonoTime now) const;
    std::optional<Refusal> checkRequests(Base::MonoTime now) const;
    std::optional<Refusal> checkTokens(const Call &call, Base::MonoTime now) const;
    Base::Duration estimatedSlotWait(Base::MonoTime now) const;
    void releaseSlot(Base::MonoTime admitted);
    void recordSlotTime(Base::Duration slotTime);
    void refundCharges(Base::Tokens estimate, Base::MonoTime now);
    void chargeTokens(double tokens, Base::MonoTime now);

    WorkspaceLimits m_limits;
    double m_share = 1;
    Gcra m_requestLimiter;
    Gcra m_tokenLimiter;
    int m_running = 0;
    Base::Duration m_startSum{}; // sum of the running calls' start times since m_origin
    Base::MonoTime m_origin{};
    double m_meanSlotSeconds = 0;
    double m_requestRate = 0;
    double m_tokenRate = 0;
    double m_peakSlots = 0;
    Base::MonoTime m_lastArrival{};
};

} // namespace Lagoonbank::Admission
