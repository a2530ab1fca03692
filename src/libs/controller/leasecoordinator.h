#pragma once

#include "orders/lease.h"
#include "platformclient/logclient.h"
#include "platformclient/tailer.h"
#include "runtime/timerqueue.h"

#include <functional>
#include <optional>
#include <string>

namespace Lagoonbank::Controller {

/// Joins the lease of a data centre to the log's stream `leases`.
class LeaseCoordinator
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        PlatformClient::LogClient *log = nullptr;
        Orders::LeaseKeeper::Options lease;
    };

    static constexpr const char *streamName = "leases";

    explicit LeaseCoordinator(const Options &options);
    ~LeaseCoordinator();
    LeaseCoordinator(const LeaseCoordinator &) = delete;
    LeaseCoordinator &operator=(const LeaseCoordinator &) = delete;

    void start();
    /// Whether this controller may claim a lease that is free.
    void setCandidate(bool isCandidate) { m_isCandidate = isCandidate; }
    /// Gives the lease up and claims none any more; only once no order is under way.
    void release();
    /// Whether a release is not on the log yet.
    bool isReleasePending() const;

    /// The number to send an order with at this moment; see Orders::LeaseKeeper::mayOrder().
    std::optional<Base::FencingNumber> mayOrder(bool endpointChecksFencing) const;
    const Orders::LeaseState &state() const { return m_keeper.state(); }
    bool isLogUp() const { return m_tailer.health().isUp; }

    std::function<void(Base::FencingNumber fencing)> gained;
    std::function<void()> lost;

private:
    Base::MonoTime now() const { return m_options.timers->clock().now(); }
    void recordRead(const PlatformClient::StoredRecord &stored);
    void append(const std::string &id, const Orders::LeaseRecord &record);
    void tick();

    Options m_options;
    Orders::LeaseKeeper m_keeper;
    PlatformClient::Tailer m_tailer;
    Base::LogOffset m_logFirst;
    bool m_isCandidate = false;
    bool m_isReleaseRequested = false;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::Controller
