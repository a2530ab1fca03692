#pragma once

#include "experiment/definition.h"
#include "experiment/random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

namespace Lagoonbank::Experiment {

/// A call that the bench is going to send.
struct PlannedCall
{
    Base::Duration timeInRun{}; ///< Time of sending since the start of the run.
    std::uint64_t number = 0; ///< A duplicate has the number of the original call.
    std::size_t workspace = 0; ///< Index into Definition::workspaces.
    std::size_t kind = 0; ///< Index into WorkspaceLoad::kinds.
    int caller = 0;
    std::uint64_t balancerDraw = 0; ///< Random number by which the balancer chooses a router.
    bool isDuplicate = false; ///< Sent through another router than the original call.
    std::uint64_t chat = 0; ///< Number of the chat; this and the rest are only set for chats.
    int turn = 0;
    bool isLastTurn = false;
    int promptTokens = 0;
    int answerTokens = 0;
};

/// Generates the calls of a run, sorted by time. The load is open-loop: it depends on the seed
/// alone, not on the answers of the fleet or their timing.
///
/// The calls of each workspace are a Poisson process. A chat call continues the chat whose pause
/// ended first, or starts a new chat if none is due.
class Workload
{
public:
    explicit Workload(const Definition &definition);

    /// The next call; no value once the length of the run is reached.
    std::optional<PlannedCall> next();

private:
    struct Chat
    {
        Base::Duration nextTurnTime{};
        std::uint64_t chat = 0;
        int caller = 0;
        int turn = 0;
        int turns = 1;
        friend bool operator>(const Chat &a, const Chat &b)
        {
            return a.nextTurnTime != b.nextTurnTime ? a.nextTurnTime > b.nextTurnTime
                                                    : a.chat > b.chat;
        }
    };
    using ChatQueue = std::priority_queue<Chat, std::vector<Chat>, std::greater<>>;

    struct WorkspaceState
    {
        Random random;
        double highestRate = 0;
        double kindWeights = 0;
        std::vector<ChatQueue> pausedChats; ///< One queue for each kind of call.
    };

    struct IsLater
    {
        bool operator()(const PlannedCall &a, const PlannedCall &b) const
        {
            return a.timeInRun != b.timeInRun ? a.timeInRun > b.timeInRun : a.number > b.number;
        }
    };

    double rateAt(const WorkspaceLoad &load, Base::Duration timeInRun) const;
    void scheduleArrival(std::size_t workspace, Base::Duration after);
    void planCall(PlannedCall &call);
    void planChatTurn(PlannedCall &call, const ChatCall &chat, WorkspaceState &workspaceState);
    void scheduleDuplicate(const PlannedCall &call, const ServiceCall &service,
                           WorkspaceState &workspaceState);

    const Definition &m_definition;
    std::vector<WorkspaceState> m_workspaceStates;
    std::priority_queue<PlannedCall, std::vector<PlannedCall>, IsLater> m_arrivals;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastChat = 0;
};

/// Mean work of a model call in the engines' work units, weighted by the rates of the kinds of
/// call.
double typicalWork(const Definition &definition);

/// The router for a call: fixed for each caller if sticky, otherwise random. A duplicate gets the
/// next router.
std::size_t chooseRouter(const PlannedCall &call, Balancer balancer, std::size_t routers);

} // namespace Lagoonbank::Experiment
