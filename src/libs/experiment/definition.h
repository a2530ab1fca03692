#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Lagoonbank::Experiment {

/// A number drawn anew each time: \a min plus an exponential part, cut at \a max.
struct Spread
{
    double min = 1;
    double mean = 1;
    double max = 1;
};

/// A chat with a model whose turns come back after pauses.
struct ChatCall
{
    Base::ModelId model;
    bool stream = true;
    std::string priority; ///< Empty for the contract's default.
    int systemTokens = 0; ///< Prefix shared by all chats of the workspace.
    Spread promptTokens; ///< New tokens of one turn.
    Spread answerTokens;
    Spread pauseSeconds; ///< From one turn's sending to the next one's.
    Spread turns;
};

/// A call of a plain service.
struct ServiceCall
{
    Base::ServiceId service;
    std::string method = "POST";
    std::string path;
    bool idempotent = true; ///< As the contract has it.
    bool withKey = false; ///< Sends an Idempotency-Key.
    double duplicateShare = 0; ///< Share of calls sent once more through another router.
    Spread duplicateSeconds; ///< Time from the first to the second sending.
    int bodyBytes = 64;
    bool direct = false; ///< Goes to an endpoint without a router, for comparison.
};

/// One kind of call of a workspace.
struct CallKind
{
    std::string name;
    double weight = 1;
    std::variant<ChatCall, ServiceCall> call;
};

/// A window in which a workspace sends \a times its rate.
struct Surge
{
    Base::Duration from{};
    Base::Duration to{};
    double times = 1;
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

/// Which router the platform's balancer gives a caller.
enum class Balancer : std::uint8_t { Random, Sticky };

struct RouterPlace
{
    Base::VmId vm;
    Base::DataCentreId dataCentre;
    std::string address; ///< ip:port for callers
    std::string adminAddress; ///< ip:port for metrics and outcomes
};

struct EndpointPlace
{
    Base::EndpointId endpoint;
    Base::DataCentreId dataCentre;
    std::string address;
    bool isEngine = true;
};

enum class EventKind : std::uint8_t { Fault, PlatformFault, Drain, Undrain, VmChange, Mark };

/// Something done to the fleet at a time of the run.
struct Event
{
    Base::Duration at{};
    EventKind kind = EventKind::Mark;
    std::string target; ///< Endpoint or VM; empty for the platform.
    std::string body; ///< JSON for Fault, PlatformFault and VmChange; free text for Mark.
};

/// One whole experiment with the places of the processes that it loads.
struct Definition
{
    std::string name;
    std::string policy; ///< For the report only; routers have it from their settings.
    std::uint64_t seed = 1;
    Base::Duration length = std::chrono::seconds(10);
    Base::Duration warmUp{}; ///< Latency, skew and reuse count only after it.
    Balancer balancer = Balancer::Random;
    Base::Duration healthCheckInterval = std::chrono::milliseconds(200);
    int retriesOnRetryAfter = 0;
    Base::Duration callDeadline = std::chrono::seconds(30);
    double skewBound = 1.25; ///< The routing policy's c.
    int cacheBlockTokens = 16;
    std::string platformAddress;
    std::vector<RouterPlace> routers;
    std::vector<EndpointPlace> endpoints;
    std::vector<WorkspaceLoad> workspaces;
    std::vector<Event> events; ///< In order of time.
};

} // namespace Lagoonbank::Experiment
