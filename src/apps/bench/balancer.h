#pragma once

#include "experiment/definition.h"
#include "experiment/workload.h"
#include "http/client.h"
#include "runtime/loop.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace Lagoonbank::Bench {

/// Stands in for the platform's balancer: spreads callers over the routers that report to be ready.
class Balancer
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        const Experiment::Definition *definition = nullptr;
    };

    explicit Balancer(const Options &options);

    /// Starts to check the readiness of each router periodically, until stop().
    void start();
    void stop() { m_isStopped = true; }
    std::size_t readyCount() const;

    /// The router for an \a attempt of a call: the first ready one, starting from the router
    /// assigned to the call and the number of the attempt.
    std::size_t choose(const Experiment::PlannedCall &call, std::size_t attempt) const;
    const Runtime::SocketAddress &address(std::size_t router) const { return m_addresses[router]; }

private:
    void checkReadiness(std::size_t router);

    Options m_options;
    std::vector<Runtime::SocketAddress> m_addresses;
    std::vector<bool> m_ready;
    bool m_isStopped = false;
};

} // namespace Lagoonbank::Bench
