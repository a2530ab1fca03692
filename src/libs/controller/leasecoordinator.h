#pragma once

#include "orders/lease.h"
#include "platformclient/logclient.h"
#include "platformclient/tailer.h"
#include "runtime/timerqueue.h"

#include <functional>
#include <optional>
#include <string>

namespace Lagoonbank::Controller {

/// Acquires, renews and releases the lease of a data centre by reading and appending records of the
/// log stream `leases`.
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
    /// Sets whether this controller may claim a free lease.
    void setCandidate(bool isCandidate) { m_isCandidate = isCandidate; }
    /// Releases the lease and stops claiming it. Must be called only when no order is in flight.
    void release();
    /// Whether a requested release has not been read back from the log yet.
    bool isReleasePending() const;

    /// The fencing number for an order that is sent now, or nothing if orders may not be sent; see
    /// Orders::LeaseKeeper::mayOrder().
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
