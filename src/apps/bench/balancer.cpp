#include "balancer.h"

#include <algorithm>

namespace Lagoonbank::Bench {

namespace {

constexpr int httpOk = 200;
constexpr Base::Duration checkTimeout = std::chrono::seconds(1);

} // namespace

Balancer::Balancer(const Options &options)
    : m_options(options)
{
    for (const Experiment::DeployedRouter &router : options.definition->routers)
        m_addresses.push_back(Runtime::parseSocketAddress(router.address).value());
    m_ready.resize(m_addresses.size());
}

void Balancer::start()
{
    for (std::size_t i = 0; i < m_addresses.size(); ++i)
        checkReadiness(i);
}

std::size_t Balancer::readyCount() const
{
    return static_cast<std::size_t>(std::count(m_ready.begin(), m_ready.end(), true));
}

std::size_t Balancer::choose(const Experiment::PlannedCall &call, std::size_t attempt) const
{
    const std::size_t count = m_addresses.size();
    const std::size_t preferred =
        Experiment::chooseRouter(call, m_options.definition->balancer, count) + attempt;
    for (std::size_t i = 0; i < count; ++i) {
        if (m_ready[(preferred + i) % count])
            return (preferred + i) % count;
    }
    return preferred % count;
}

void Balancer::checkReadiness(std::size_t router)
{
    Http::Call call{
        .server = m_addresses[router],
        .target = "/readyz",
        .connectTimeout = checkTimeout,
        .headTimeout = checkTimeout,
        .totalTimeout = checkTimeout,
    };
    m_options.client->start(
        std::move(call), {.finished = [this, router](const Http::CallResult &result) {
            m_ready[router] = result.end == Http::CallEnd::Whole && result.status == httpOk;
            if (m_isStopped)
                return;
            m_options.loop->timers().start(m_options.definition->healthCheckInterval,
                                           [this, router] { checkReadiness(router); });
        }});
}

} // namespace Lagoonbank::Bench
