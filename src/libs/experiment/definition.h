#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lagoonbank::Experiment {

/// Distribution of a random number: \a min plus an exponentially distributed part, limited to \a
/// max.
struct Distribution
{
    double min = 1;
    double mean = 1;
    double max = 1;
};

/// A chat with a model; each turn repeats the messages of the turns before it.
struct ChatCall
{
    Base::ModelId model;
    bool stream = true;
    std::string priority; ///< Empty for the default of the workspace's contract.
    int systemTokens = 0; ///< Length of the prefix that all chats of the workspace share.
    Distribution promptTokens; ///< New prompt tokens of each turn.
    Distribution answerTokens;
    Distribution pauseSeconds; ///< Time between the sending of one turn and of the next.
    Distribution turns; ///< Number of turns of a chat.
};

/// A call of a plain service.
struct ServiceCall
{
    Base::ServiceId service;
    std::string method = "POST";
    std::string path;
    bool idempotent = true; ///< As configured in the contract.
    bool withKey = false; ///< Sends an Idempotency-Key.
    double duplicateShare = 0; ///< Share of calls that are sent again through another router.
    Distribution duplicateSeconds; ///< Time between a call and its duplicate.
    int bodyBytes = 64;
    bool direct = false; ///< Bypasses the routers, for comparison.
};

/// One kind of call that a workspace sends.
struct CallKind
{
    std::string name;
    double weight = 1; ///< Share of the workspace's calls, relative to the other kinds.
    std::variant<ChatCall, ServiceCall> call;
};

/// A period of the run in which a workspace sends its rate multiplied by \a rateFactor.
struct Surge
{
    Base::Duration from{};
    Base::Duration to{};
    double rateFactor = 1;
};

struct WorkspaceLoad
{
    Base::WorkspaceId workspace;
    std::string bearerKey;
    double callsPerSecond = 1;
    int callers = 1;
    std::vector<Surge> surges;
    std::vector<CallKind> kinds;
};

/// How the platform's balancer assigns callers to routers.
enum class Balancer : std::uint8_t { Random, Sticky };

/// A router of the deployment under test.
struct DeployedRouter
{
    Base::VmId vm;
    Base::DataCentreId dataCentre;
    std::string address; ///< ip:port that callers connect to.
    std::string adminAddress; ///< ip:port that serves metrics and outcomes.
};

/// An endpoint of the deployment under test.
struct DeployedEndpoint
{
    Base::EndpointId endpoint;
    Base::DataCentreId dataCentre;
    std::string address;
    bool isEngine = true;
};

enum class EventKind : std::uint8_t { Fault, PlatformFault, Drain, Undrain, VmChange, Mark };

/// A scheduled action on the fleet, such as injecting a fault.
struct Event
{
    Base::Duration timeInRun{}; ///< Time since the start of the run.
    EventKind kind = EventKind::Mark;
    std::string target; ///< Endpoint or VM; empty for the platform.
    std::string body; ///< JSON for Fault, PlatformFault and VmChange; free text for Mark.
};

/// An experiment with the addresses of the processes that it puts load on.
struct Definition
{
    std::string name;
    std::string
        policy; ///< Only named in the report; routers read their policy from their settings.
    std::uint64_t seed = 1;
    Base::Duration length = std::chrono::seconds(10);
    Base::Duration warmUp{}; ///< Latency, skew and cache reuse are measured only after this time.
    Balancer balancer = Balancer::Random;
    Base::Duration healthCheckInterval = std::chrono::milliseconds(200);
    int retriesOnRetryAfter = 0;
    Base::Duration callDeadline = std::chrono::seconds(30);
    double skewBound = 1.25; ///< Multiple of the mean load that the routing policy allows.
    int cacheBlockTokens = 16;
    std::string platformAddress;
    std::vector<DeployedRouter> routers;
    std::vector<DeployedEndpoint> endpoints;
    std::vector<WorkspaceLoad> workspaces;
    std::vector<Event> events; ///< Sorted by time.
};

} // namespace Lagoonbank::Experiment
