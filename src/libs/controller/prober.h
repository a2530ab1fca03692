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

/// Asks its share of a data centre's endpoints for their load, within the control budget.
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
        std::string member; ///< This process.
        /// Takes bytes from the control budget; false if it has none left.
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
    /// Who shares the work now, this process included.
    void setMembers(std::vector<std::string> members) { m_members = std::move(members); }
    void setPeriod(Base::Duration period);

    /// An endpoint told its load; the sample was taken at \a sampledAt by this process's clock.
    std::function<void(const Base::EndpointId &endpoint, const LoadAnswer &load,
                       Base::MonoTime sampledAt)>
        reported;
    std::function<void(const Base::EndpointId &endpoint, const std::string &why)> failed;
    /// A probe waits because the budget is spent.
    std::function<void()> deferred;

    /// Endpoints that this process probes at present.
    std::size_t probedEndpointCount() const { return m_probedEndpointCount; }

private:
    void tick();
    void probe(const Target &target);
    void handleResult(const Base::EndpointId &endpoint, Base::MonoTime sentAt,
                      const Http::CallResult &result);

    Options m_options;
    std::vector<std::string> m_members;
    std::map<Base::EndpointId, Target> m_targets;
    std::map<Base::EndpointId, Base::MonoTime> m_inFlight;
    std::map<Base::EndpointId, Base::MonoTime> m_nextProbeAt;
    std::size_t m_probedEndpointCount = 0;
    Runtime::TimerId m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< For calls that outlive it.
};

} // namespace Lagoonbank::Controller
