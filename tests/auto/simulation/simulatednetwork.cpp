#include "auto/simulation/simulatednetwork.h"

#include "auto/simulation/simulatedconfiguration.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace Simulation {

using namespace Lagoonbank;
using std::chrono::milliseconds;

namespace {

/// As FleetSync::FleetLink has them.
constexpr Base::Duration pullTimeout = milliseconds(400);
constexpr Base::Duration progressTimeout = milliseconds(1000);
/// How often a transfer over a cut link is looked at again.
constexpr Base::Duration transferStep = milliseconds(100);
/// One way inside of a data centre and between two.
constexpr Base::Duration nearest = std::chrono::microseconds(200);
constexpr Base::Duration near = milliseconds(2);
constexpr Base::Duration far = milliseconds(8);
constexpr Base::Duration farthest = milliseconds(45);
/// Of a VM's link, and of a squeezed one: 100 Mbit/s and 0.5 Mbit/s.
constexpr double bytesPerSecond = 12.5e6;
constexpr double slowBytesPerSecond = 62.5e3;
/// One datagram of a thousand is lost on the calmest day.
constexpr std::uint64_t calmLossOneIn = 1000;
/// Of one shared endpoint on the wire.
constexpr std::size_t endpointBytes = 110;

} // namespace

void SimulatedNetwork::sendDatagram(VmIndex from, VmIndex to, std::function<void()> arrive)
{
    RandomSource &link = random(from, to);
    const Base::Duration takes = delay(from, to);
    const bool isLost =
        link.chance(m_lossPercent[from] + m_lossPercent[to]) || link.below(calmLossOneIn) == 0;
    if (isLost || isCut(from, to))
        return;
    m_options.worldTimers->start(
        takes, [this, to, arrive = std::move(arrive)] { m_options.post(to, arrive); });
}

/// A connection needs both directions. A peer that is down but whose VM lives resets it; one that
/// is frozen takes the connection and does not answer in time.
void SimulatedNetwork::pull(VmIndex from, VmIndex to, const Answer &answer, PullCallback ended)
{
    if (isCut(from, to) || isCut(to, from)) {
        failPull(from, pullTimeout, std::move(ended));
        return;
    }
    const Base::Duration takes = delay(from, to) + delay(to, from) + delay(from, to);
    const Base::MonoTime limit = m_options.worldTimers->clock().now() + takes + pullTimeout;
    const auto isAnswered = std::make_shared<bool>(false);
    m_options.worldTimers->start(takes, [this, from, to, answer, ended, limit, isAnswered] {
        const bool isThere = m_options.post(to, [this, from, to, answer, ended, limit, isAnswered] {
            if (m_options.worldTimers->clock().now() >= limit)
                return; // The asker has gone.
            *isAnswered = true;
            Schema::FleetStateAnswer state = answer();
            m_options.worldTimers->start(
                transferTime(from, to, state), [this, from, to, state, ended] {
                    transfer(from, to, state, ended, Base::Duration::zero());
                });
        });
        if (!isThere) {
            *isAnswered = true;
            failPull(from, delay(to, from), ended);
        }
    });
    m_options.worldTimers->start(takes + pullTimeout, [this, from, ended, isAnswered] {
        if (!*isAnswered)
            failPull(from, Base::Duration::zero(), ended);
    });
}

/// The rest of an answer waits while the link is cut, for as long as the asker waits.
void SimulatedNetwork::transfer(VmIndex from, VmIndex to, Schema::FleetStateAnswer state,
                                PullCallback ended, Base::Duration silence)
{
    if (isCut(to, from) || isCut(from, to)) {
        if (silence >= progressTimeout) {
            failPull(from, Base::Duration::zero(), std::move(ended));
            return;
        }
        m_options.worldTimers->start(transferStep, [this, from, to, state, ended, silence] {
            transfer(from, to, state, ended, silence + transferStep);
        });
        return;
    }
    m_options.post(from, [state = std::move(state), ended = std::move(ended)] { ended(&state); });
}

void SimulatedNetwork::failPull(VmIndex from, Base::Duration after, PullCallback ended)
{
    m_options.worldTimers->start(after, [this, from, ended = std::move(ended)] {
        m_options.post(from, [ended] { ended(nullptr); });
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
    return random(from, to).between(isSameDataCentre ? nearest : far,
                                    isSameDataCentre ? near : farthest);
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
