#include "auto/simulation/simulatednetwork.h"

#include "auto/simulation/simulatedconfiguration.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace Simulation {

using namespace Lagoonbank;
using std::chrono::milliseconds;

namespace {

/// The values of FleetSync::FleetLink.
constexpr Base::Duration pullTimeout = milliseconds(400);
constexpr Base::Duration progressTimeout = milliseconds(1000);
/// How often a transfer over a cut link is attempted again.
constexpr Base::Duration transferStep = milliseconds(100);
/// One-way delays within a data centre and between two.
constexpr Base::Duration minLocalDelay = std::chrono::microseconds(200);
constexpr Base::Duration maxLocalDelay = milliseconds(2);
constexpr Base::Duration minRemoteDelay = milliseconds(8);
constexpr Base::Duration maxRemoteDelay = milliseconds(45);
/// Bandwidth of a VM's link, 100 Mbit/s, and of a slow one, 0.5 Mbit/s.
constexpr double bytesPerSecond = 12.5e6;
constexpr double slowBytesPerSecond = 62.5e3;
/// One datagram in a thousand is lost even without faults.
constexpr std::uint64_t baseLossOneIn = 1000;
/// Size of one SharedEndpoint on the wire.
constexpr std::size_t endpointBytes = 110;

} // namespace

void SimulatedNetwork::sendDatagram(VmIndex from, VmIndex to, std::function<void()> arrive)
{
    RandomSource &link = random(from, to);
    const Base::Duration duration = delay(from, to);
    const bool isLost =
        link.chance(m_lossPercent[from] + m_lossPercent[to]) || link.below(baseLossOneIn) == 0;
    if (isLost || isCut(from, to))
        return;
    m_options.worldTimers->start(
        duration, [this, to, arrive = std::move(arrive)] { m_options.post(to, arrive); });
}

/// A connection needs both directions. A VM whose router is down resets it; a frozen router accepts
/// the connection but does not answer in time.
void SimulatedNetwork::pull(VmIndex from, VmIndex to, const Answer &answer, PullCallback callback)
{
    if (isCut(from, to) || isCut(to, from)) {
        failPull(from, pullTimeout, std::move(callback));
        return;
    }
    const Base::Duration duration = delay(from, to) + delay(to, from) + delay(from, to);
    const Base::MonoTime deadline = m_options.worldTimers->clock().now() + duration + pullTimeout;
    const auto isAnswered = std::make_shared<bool>(false);
    m_options.worldTimers->start(
        duration, [this, from, to, answer, callback, deadline, isAnswered] {
            const bool isRouterUp =
                m_options.post(to, [this, from, to, answer, callback, deadline, isAnswered] {
                    if (m_options.worldTimers->clock().now() >= deadline)
                        return; // The requesting router has timed out.
                    *isAnswered = true;
                    Schema::FleetStateAnswer state = answer();
                    m_options.worldTimers->start(
                        transferTime(from, to, state), [this, from, to, state, callback] {
                            transfer(from, to, state, callback, Base::Duration::zero());
                        });
                });
            if (!isRouterUp) {
                *isAnswered = true;
                failPull(from, delay(to, from), callback);
            }
        });
    m_options.worldTimers->start(duration + pullTimeout, [this, from, callback, isAnswered] {
        if (!*isAnswered)
            failPull(from, Base::Duration::zero(), callback);
    });
}

/// The transfer of an answer stalls while the link is cut, until the requesting router times out.
void SimulatedNetwork::transfer(VmIndex from, VmIndex to, Schema::FleetStateAnswer state,
                                PullCallback callback, Base::Duration stalled)
{
    if (isCut(to, from) || isCut(from, to)) {
        if (stalled >= progressTimeout) {
            failPull(from, Base::Duration::zero(), std::move(callback));
            return;
        }
        m_options.worldTimers->start(transferStep, [this, from, to, state, callback, stalled] {
            transfer(from, to, state, callback, stalled + transferStep);
        });
        return;
    }
    m_options.post(
        from, [state = std::move(state), callback = std::move(callback)] { callback(&state); });
}

void SimulatedNetwork::failPull(VmIndex from, Base::Duration after, PullCallback callback)
{
    m_options.worldTimers->start(after, [this, from, callback = std::move(callback)] {
        m_options.post(from, [callback] { callback(nullptr); });
    });
}

bool SimulatedNetwork::isCut(VmIndex from, VmIndex to) const
{
    const auto found = m_cuts.find({from, to});
    return found != m_cuts.end() && found->second > 0;
}

RandomSource &SimulatedNetwork::random(VmIndex from, VmIndex to)
{
    constexpr std::uint64_t spread = 1009;
    return m_randoms.try_emplace({from, to}, m_options.seed + spread * (spread * from + to))
        .first->second;
}

Base::Duration SimulatedNetwork::delay(VmIndex from, VmIndex to)
{
    const bool isSameDataCentre = m_options.isSameDataCentre(from, to);
    return random(from, to).between(isSameDataCentre ? minLocalDelay : minRemoteDelay,
                                    isSameDataCentre ? maxLocalDelay : maxRemoteDelay);
}

Base::Duration SimulatedNetwork::transferTime(VmIndex from, VmIndex to,
                                              const Schema::FleetStateAnswer &state)
{
    const std::size_t bytes =
        state.endpoints.size() * endpointBytes + configurationBytes(state.configuration);
    const bool isSlow = m_slow[from] + m_slow[to] > 0;
    return delay(to, from)
        + Base::fromSeconds(static_cast<double>(bytes)
                            / (isSlow ? slowBytesPerSecond : bytesPerSecond));
}

} // namespace Simulation
