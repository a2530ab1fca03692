#pragma once

#include "experiment/definition.h"
#include "experiment/workload.h"
#include "http/client.h"
#include "runtime/loop.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace Lagoonbank::Bench {

/// Stands for the platform's balancer: spreads callers over the routers that say they are ready.
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

    /// Begins to ask each router for its readiness; goes on until stop().
    void start();
    void stop() { m_isStopped = true; }
    std::size_t readyCount() const;

    /// The router of a call's \a attempt, the first ready one from the call's own on.
    std::size_t choose(const Experiment::PlannedCall &call, std::size_t attempt) const;
    const Runtime::SocketAddress &address(std::size_t router) const { return m_addresses[router]; }

private:
    void check(std::size_t router);

    Options m_options;
    std::vector<Runtime::SocketAddress> m_addresses;
    std::vector<bool> m_ready;
    bool m_isStopped = false;
};

} // namespace Lagoonbank::Bench
