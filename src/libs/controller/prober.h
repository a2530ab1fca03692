#pragma once

#include "controller/endpointanswers.h"
#include "controller/endpointcalls.h"
#include "orders/orderplan.h"
#include "runtime/timerqueue.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Lagoonbank::Controller {

/// Probes this controller's share of the endpoints of a data centre for their load, within the
/// control budget.
class Prober
{
public:
    struct Target
    {
        Base::EndpointId endpoint;
        Runtime::SocketAddress address;
    };
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        EndpointCalls calls;
        std::string member; ///< Member id of this process.
        /// Takes bytes from the control budget; returns false if the budget is exhausted.
        std::function<bool(std::size_t bytes)> takeFromBudget;
        Orders::ProbeSchedule::Options schedule;
        Base::Duration timeout = std::chrono::seconds(1);
    };

    explicit Prober(Options options);
    ~Prober();
    Prober(const Prober &) = delete;
    Prober &operator=(const Prober &) = delete;

    void start();
    void setTargets(const std::vector<Target> &targets);
    /// Sets the members that share the probing, including this process.
    void setMembers(std::vector<std::string> members) { m_members = std::move(members); }
    void setPeriod(Base::Duration period);

    /// Called when an endpoint reported its load, sampled at \a sampledAt by the clock of this
    /// process.
    std::function<void(const Base::EndpointId &endpoint, const LoadAnswer &load,
                       Base::MonoTime sampledAt)>
        reported;
    std::function<void(const Base::EndpointId &endpoint, const std::string &reason)> failed;
    /// Called when a probe is deferred because the budget is exhausted.
    std::function<void()> deferred;

    /// Number of endpoints that this process currently probes.
    std::size_t probedEndpointCount() const { return m_probedEndpointCount; }

private:
    void tick();
    void probe(const Target &target);
    void handleResult(const Base::EndpointId &endpoint, Base::MonoTime sentAt,
                      const Http::CallResult &result);

    Options m_options;
    std::vector<std::string> m_members;
    std::map<Base::EndpointId, Target> m_targets;
    std::map<Base::EndpointId, Base::MonoTime> m_probeSentAt; ///< For probes without an answer yet.
    std::map<Base::EndpointId, Base::MonoTime> m_nextProbeAt;
    std::size_t m_probedEndpointCount = 0;
    Runtime::TimerId m_timer;
    /// Set to false on destruction; checked by calls that outlive this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Controller
