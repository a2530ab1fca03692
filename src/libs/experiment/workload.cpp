#include "experiment/workload.h"

#include <algorithm>

namespace Lagoonbank::Experiment {

namespace {

/// Work units of an output token; a prompt token counts as 1.
constexpr double outputTokenWork = 8;
constexpr std::uint64_t seedStep = 0x9E3779B97F4A7C15ULL;

double highestRate(const WorkspaceLoad &load)
{
    double rateFactor = 1;
    for (const Surge &surge : load.surges)
        rateFactor = std::max(rateFactor, surge.rateFactor);
    return load.callsPerSecond * rateFactor;
}

} // namespace

Workload::Workload(const Definition &definition)
    : m_definition(definition)
{
    std::uint64_t seed = definition.seed;
    for (const WorkspaceLoad &load : definition.workspaces) {
        seed += seedStep;
        WorkspaceState workspaceState{Random(seed), highestRate(load), 0, {}};
        for (const CallKind &kind : load.kinds)
            workspaceState.kindWeights += kind.weight;
        workspaceState.pausedChats.resize(load.kinds.size());
        m_workspaceStates.push_back(std::move(workspaceState));
    }
    for (std::size_t i = 0; i < m_workspaceStates.size(); ++i)
        scheduleArrival(i, Base::Duration::zero());
}

std::optional<PlannedCall> Workload::next()
{
    while (!m_arrivals.empty()) {
        PlannedCall call = m_arrivals.top();
        m_arrivals.pop();
        if (call.isDuplicate)
            return call;
        scheduleArrival(call.workspace, call.timeInRun);
        WorkspaceState &workspaceState = m_workspaceStates[call.workspace];
        const WorkspaceLoad &load = m_definition.workspaces[call.workspace];
        // Thinning: arrivals are generated at the highest rate of the run; only the share that
        // matches the current rate is kept.
        if (workspaceState.random.uniform() * workspaceState.highestRate
            >= rateAt(load, call.timeInRun))
            continue;
        planCall(call);
        return call;
    }
    return std::nullopt;
}

double Workload::rateAt(const WorkspaceLoad &load, Base::Duration timeInRun) const
{
    double rateFactor = 1;
    for (const Surge &surge : load.surges) {
        if (timeInRun >= surge.from && timeInRun < surge.to)
            rateFactor = std::max(rateFactor, surge.rateFactor);
    }
    return load.callsPerSecond * rateFactor;
}

void Workload::scheduleArrival(std::size_t workspace, Base::Duration after)
{
    WorkspaceState &workspaceState = m_workspaceStates[workspace];
    if (workspaceState.highestRate <= 0)
        return;
    PlannedCall call;
    call.workspace = workspace;
    call.timeInRun = after
        + Base::fromSeconds(workspaceState.random.exponential(1 / workspaceState.highestRate));
    if (call.timeInRun < m_definition.length)
        m_arrivals.push(call);
}

void Workload::planCall(PlannedCall &call)
{
    WorkspaceState &workspaceState = m_workspaceStates[call.workspace];
    const WorkspaceLoad &load = m_definition.workspaces[call.workspace];
    call.number = ++m_lastNumber;
    call.balancerDraw = workspaceState.random.bits();
    call.caller =
        static_cast<int>(workspaceState.random.bits() % static_cast<unsigned>(load.callers));

    double weightOffset = workspaceState.random.uniform() * workspaceState.kindWeights;
    while (call.kind + 1 < load.kinds.size() && weightOffset >= load.kinds[call.kind].weight) {
        weightOffset -= load.kinds[call.kind].weight;
        ++call.kind;
    }
    const CallKind &kind = load.kinds[call.kind];
    if (const auto *chat = std::get_if<ChatCall>(&kind.call))
        planChatTurn(call, *chat, workspaceState);
    else
        scheduleDuplicate(call, std::get<ServiceCall>(kind.call), workspaceState);
}

void Workload::planChatTurn(PlannedCall &call, const ChatCall &chat, WorkspaceState &workspaceState)
{
    ChatQueue &pausedChats = workspaceState.pausedChats[call.kind];
    Chat state;
    if (!pausedChats.empty() && pausedChats.top().nextTurnTime <= call.timeInRun) {
        state = pausedChats.top();
        pausedChats.pop();
    } else {
        state.chat = ++m_lastChat;
        state.caller = call.caller;
        state.turns = workspaceState.random.drawCount(chat.turns, 1);
    }
    call.chat = state.chat;
    call.caller = state.caller;
    call.turn = state.turn;
    call.isLastTurn = state.turn + 1 >= state.turns;
    call.promptTokens = workspaceState.random.drawCount(chat.promptTokens, 1);
    call.answerTokens = workspaceState.random.drawCount(chat.answerTokens, 1);
    if (call.isLastTurn)
        return;
    ++state.turn;
    state.nextTurnTime =
        call.timeInRun + Base::fromSeconds(workspaceState.random.draw(chat.pauseSeconds));
    pausedChats.push(state);
}

void Workload::scheduleDuplicate(const PlannedCall &call, const ServiceCall &service,
                                 WorkspaceState &workspaceState)
{
    if (workspaceState.random.uniform() >= service.duplicateShare)
        return;
    PlannedCall duplicate = call;
    duplicate.isDuplicate = true;
    duplicate.timeInRun += Base::fromSeconds(workspaceState.random.draw(service.duplicateSeconds));
    m_arrivals.push(duplicate);
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
            const double callRate = load.callsPerSecond * kind.weight / weights;
            work +=
                callRate * (chat->promptTokens.mean + outputTokenWork * chat->answerTokens.mean);
            rate += callRate;
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
