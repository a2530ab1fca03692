#pragma once

#include "experiment/definition.h"
#include "experiment/random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

namespace Lagoonbank::Experiment {

/// One call that the bench will send.
struct PlannedCall
{
    Base::Duration at{}; ///< From the start of the run.
    std::uint64_t number = 0; ///< A second sending has the number of the first.
    std::size_t workspace = 0; ///< Index into Definition::workspaces.
    std::size_t kind = 0; ///< Index into WorkspaceLoad::kinds.
    int caller = 0;
    std::uint64_t balancerDraw = 0;
    bool isDuplicate = false; ///< Goes through another router than the first sending.
    std::uint64_t chat = 0; ///< Chats only, as are the following.
    int turn = 0;
    bool isLastTurn = false;
    int promptTokens = 0;
    int answerTokens = 0;
};

/// Makes the calls of a run in order of time from the seed alone: what the fleet answers and how
/// fast changes nothing (open loop).
///
/// Each workspace sends by a Poisson process. A chat's call takes the chat whose pause has been
/// over for longest; if there is none it opens a new chat.
class Workload
{
public:
    explicit Workload(const Definition &definition);

    /// The next call, or nothing once the run's length is reached.
    std::optional<PlannedCall> next();

private:
    struct Chat
    {
        Base::Duration due{};
        std::uint64_t chat = 0;
        int caller = 0;
        int turn = 0;
        int turns = 1;
        friend bool operator>(const Chat &a, const Chat &b)
        {
            return a.due != b.due ? a.due > b.due : a.chat > b.chat;
        }
    };
    using ChatQueue = std::priority_queue<Chat, std::vector<Chat>, std::greater<>>;

    struct Source
    {
        Random random;
        double highestRate = 0;
        double kindWeights = 0;
        std::vector<ChatQueue> paused; ///< One for each kind.
    };

    struct Later
    {
        bool operator()(const PlannedCall &a, const PlannedCall &b) const
        {
            return a.at != b.at ? a.at > b.at : a.number > b.number;
        }
    };

    double rateAt(const WorkspaceLoad &load, Base::Duration at) const;
    void scheduleArrival(std::size_t workspace, Base::Duration after);
    void fill(PlannedCall &call);
    void fillChat(PlannedCall &call, const ChatCall &chat, Source &source);
    void scheduleDuplicate(const PlannedCall &call, const ServiceCall &service, Source &source);

    const Definition &m_definition;
    std::vector<Source> m_sources;
    std::priority_queue<PlannedCall, std::vector<PlannedCall>, Later> m_arrivals;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastChat = 0;
};

/// Work of one typical model call in the engines' units, over all kinds by their rates.
double typicalWork(const Definition &definition);

/// The router of a call: by its caller if sticky, else at random; a second sending gets the next.
std::size_t chooseRouter(const PlannedCall &call, Balancer balancer, std::size_t routers);

} // namespace Lagoonbank::Experiment
