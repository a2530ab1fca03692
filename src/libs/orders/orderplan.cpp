#include "orders/orderplan.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace Lagoonbank::Orders {

namespace {

template<typename T>
void setIfDifferent(std::optional<T> &set, const std::optional<T> &desired,
                    const std::optional<T> &observed)
{
    if (desired && desired != observed)
        set = desired;
}

std::uint64_t hashText(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

std::optional<Order> planOrder(const Base::EndpointId &endpoint, const EndpointSettings &desired,
                               const EndpointSettings &observed, Base::Revision revision)
{
    Order order{.endpoint = endpoint};
    setIfDifferent(order.set.model, desired.model, observed.model);
    setIfDifferent(order.set.adapter, desired.adapter, observed.adapter);
    setIfDifferent(order.set.version, desired.version, observed.version);
    setIfDifferent(order.set.role, desired.role, observed.role);
    setIfDifferent(order.set.draining, desired.draining, observed.draining);
    if (order.set.isEmpty())
        return std::nullopt;
    order.loadsWeights = order.set.model || order.set.adapter || order.set.version;
    const std::string settings = order.set.model.value_or("-") + '|'
        + order.set.adapter.value_or("-") + '|' + order.set.version.value_or("-") + '|'
        + order.set.role.value_or("-") + '|'
        + (order.set.draining ? (*order.set.draining ? "1" : "0") : "-");
    order.id = endpoint.value() + '@' + std::to_string(revision.value()) + '-'
        + std::to_string(hashText(settings));
    return order;
}

bool WeightLoadLimiter::mayStart(Base::MonoTime now)
{
    std::erase_if(m_runningLoads,
                  [&](const auto &load) { return now - load.second > m_options.loadTimeout; });
    return now >= m_nextStartAt && m_runningLoads.size() < m_options.maxConcurrentLoads;
}

void WeightLoadLimiter::started(const Base::EndpointId &endpoint, Base::MonoTime now)
{
    m_runningLoads[endpoint] = now;
    m_nextStartAt = std::max(m_nextStartAt, now + m_options.minStartInterval);
}

void WeightLoadLimiter::noteStoreRefusal(const Base::EndpointId &endpoint,
                                         Base::Duration retryAfter, Base::MonoTime now)
{
    m_runningLoads.erase(endpoint);
    m_nextStartAt = std::max(m_nextStartAt, now + retryAfter);
}

DrainStep nextDrainStep(const DrainView &view, Base::Duration maxExportTime)
{
    if (!view.isDraining)
        return DrainStep::OrderDraining;
    if (view.chatsToExport > 0 && view.sinceDraining < maxExportTime)
        return DrainStep::ExportCache;
    return view.inFlight > 0 ? DrainStep::Wait : DrainStep::Done;
}

ProbeSchedule::Assignment
ProbeSchedule::probesOf(const std::string &member, const std::vector<std::string> &members,
                        const std::vector<Base::EndpointId> &endpoints) const
{
    Assignment result{.period = m_options.period};
    for (const Base::EndpointId &endpoint : endpoints) {
        const auto weight = [&](const std::string &name) {
            return std::pair(hashText(name + '|' + endpoint.value()), name);
        };
        const auto own = weight(member);
        const auto above =
            std::count_if(members.begin(), members.end(), [&](const std::string &other) {
                return other != member && weight(other) > own;
            });
        if (static_cast<std::size_t>(above) < m_options.probersPerEndpoint)
            result.endpoints.push_back(endpoint);
    }
    const double cost = static_cast<double>(result.endpoints.size()) * m_options.bytesPerProbe;
    result.period =
        std::max(result.period, Base::fromSeconds(cost / m_options.maxProbeBytesPerSecond));
    return result;
}

} // namespace Lagoonbank::Orders
