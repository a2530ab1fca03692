#include "experiment/workload.h"

#include <algorithm>

namespace Lagoonbank::Experiment {

namespace {

/// Weight of an output token in the engines' work units.
constexpr double outputTokenWork = 8;
constexpr std::uint64_t seedStep = 0x9E3779B97F4A7C15ULL;

double highestRate(const WorkspaceLoad &load)
{
    double times = 1;
    for (const Surge &surge : load.surges)
        times = std::max(times, surge.times);
    return load.callsPerSecond * times;
}

} // namespace

Workload::Workload(const Definition &definition)
    : m_definition(definition)
{
    std::uint64_t seed = definition.seed;
    for (const WorkspaceLoad &load : definition.workspaces) {
        seed += seedStep;
        Source source{Random(seed), highestRate(load), 0, {}};
        for (const CallKind &kind : load.kinds)
            source.kindWeights += kind.weight;
        source.paused.resize(load.kinds.size());
        m_sources.push_back(std::move(source));
    }
    for (std::size_t i = 0; i < m_sources.size(); ++i)
        scheduleArrival(i, Base::Duration::zero());
}

std::optional<PlannedCall> Workload::next()
{
    while (!m_arrivals.empty()) {
        PlannedCall call = m_arrivals.top();
        m_arrivals.pop();
        if (call.isDuplicate)
            return call;
        scheduleArrival(call.workspace, call.at);
        Source &source = m_sources[call.workspace];
        const WorkspaceLoad &load = m_definition.workspaces[call.workspace];
        // Thinning: arrivals come at the highest rate, and only the share of this moment stays.
        if (source.random.uniform() * source.highestRate >= rateAt(load, call.at))
            continue;
        fill(call);
        return call;
    }
    return std::nullopt;
}

double Workload::rateAt(const WorkspaceLoad &load, Base::Duration at) const
{
    double times = 1;
    for (const Surge &surge : load.surges) {
        if (at >= surge.from && at < surge.to)
            times = std::max(times, surge.times);
    }
    return load.callsPerSecond * times;
}

void Workload::scheduleArrival(std::size_t workspace, Base::Duration after)
{
    Source &source = m_sources[workspace];
    if (source.highestRate <= 0)
        return;
    PlannedCall call;
    call.workspace = workspace;
    call.at = after + Base::fromSeconds(source.random.exponential(1 / source.highestRate));
    if (call.at < m_definition.length)
        m_arrivals.push(call);
}

void Workload::fill(PlannedCall &call)
{
    Source &source = m_sources[call.workspace];
    const WorkspaceLoad &load = m_definition.workspaces[call.workspace];
    call.number = ++m_lastNumber;
    call.balancerDraw = source.random.bits();
    call.caller = static_cast<int>(source.random.bits() % static_cast<unsigned>(load.callers));

    double place = source.random.uniform() * source.kindWeights;
    while (call.kind + 1 < load.kinds.size() && place >= load.kinds[call.kind].weight) {
        place -= load.kinds[call.kind].weight;
        ++call.kind;
    }
    const CallKind &kind = load.kinds[call.kind];
    if (const auto *chat = std::get_if<ChatCall>(&kind.call))
        fillChat(call, *chat, source);
    else
        scheduleDuplicate(call, std::get<ServiceCall>(kind.call), source);
}

void Workload::fillChat(PlannedCall &call, const ChatCall &chat, Source &source)
{
    ChatQueue &paused = source.paused[call.kind];
    Chat state;
    if (!paused.empty() && paused.top().due <= call.at) {
        state = paused.top();
        paused.pop();
    } else {
        state.chat = ++m_lastChat;
        state.caller = call.caller;
        state.turns = source.random.drawCount(chat.turns, 1);
    }
    call.chat = state.chat;
    call.caller = state.caller;
    call.turn = state.turn;
    call.isLastTurn = state.turn + 1 >= state.turns;
    call.promptTokens = source.random.drawCount(chat.promptTokens, 1);
    call.answerTokens = source.random.drawCount(chat.answerTokens, 1);
    if (call.isLastTurn)
        return;
    ++state.turn;
    state.due = call.at + Base::fromSeconds(source.random.draw(chat.pauseSeconds));
    paused.push(state);
}

void Workload::scheduleDuplicate(const PlannedCall &call, const ServiceCall &service,
                                 Source &source)
{
    if (source.random.uniform() >= service.duplicateShare)
        return;
    PlannedCall second = call;
    second.isDuplicate = true;
    second.at += Base::fromSeconds(source.random.draw(service.duplicateSeconds));
    m_arrivals.push(second);
}

double typicalWork(const Definition &definition)
{
    double work = 0;
    double rate = 0;
    for (const WorkspaceLoad &load : definition.workspaces) {
        double weights = 0;
        for (const CallKind &kind : load.kinds)
            weights += kind.weight;
        for (const CallKind &kind : load.kinds) {
            const auto *chat = std::get_if<ChatCall>(&kind.call);
            if (!chat)
                continue;
            const double own = load.callsPerSecond * kind.weight / weights;
            work += own * (chat->promptTokens.mean + outputTokenWork * chat->answerTokens.mean);
            rate += own;
        }
    }
    return rate > 0 ? work / rate : 0;
}

std::size_t chooseRouter(const PlannedCall &call, Balancer balancer, std::size_t routers)
{
    if (routers == 0)
        return 0;
    std::uint64_t draw = call.balancerDraw;
    if (balancer == Balancer::Sticky)
        draw = (call.workspace + 1) * seedStep + static_cast<std::uint64_t>(call.caller) * 7919;
    return (draw + (call.isDuplicate ? 1 : 0)) % routers;
}

} // namespace Lagoonbank::Experiment
