#pragma once

#include "base/units.h"
#include "errors/errorkind.h"
#include "routing/endpointtable.h"
#include "routing/loadbound.h"
#include "routing/policy.h"

#include <array>
#include <cstdint>
#include <span>

namespace Lagoonbank::Routing {

/// The data of one endpoint that a decision needs; compact, so that a scan touches little memory.
struct Candidate
{
    enum class Use : std::uint8_t {
        No, ///< Leaving, removed or suspected.
        Trial, ///< Suspected; may get one repeatable request that shows whether it has recovered.
        Yes
    };

    std::uint64_t hash = 0;
    double weight = 1.0; ///< Capacity times the slow-start share.
    double load = 0.0;
    Use use = Use::No;
    bool local = false; ///< In this router's data centre.
};

/// An endpoint where the chat's prefix may be cached.
struct WarmEndpoint
{
    EndpointIndex endpoint = noEndpoint;
    Base::Tokens cached;
};

/// Endpoints at which a request has been attempted and which must not get it again.
class TriedEndpoints
{
public:
    static constexpr std::size_t limit = 8;

    /// Returns false if the list is full; the request must then not be attempted again.
    bool add(EndpointIndex endpoint);
    bool contains(EndpointIndex endpoint) const;
    std::size_t size() const { return m_count; }

private:
    std::array<EndpointIndex, limit> m_items{};
    std::size_t m_count = 0;
};

/// The properties of a request that determine the choice of its endpoint.
struct RouteRequest
{
    PoolIndex pool = noPool;
    /// Hash of workspace and chat, or of the request id if the request names no chat.
    std::uint64_t chatHash = 0;
    Base::Tokens promptTokens;
    Base::Tokens expectedOutput;
    std::uint8_t priority = 1; ///< Zero is the most urgent.
    bool repeatable = true; ///< May be run again after an attempt that may have run.
    bool usesCache = true; ///< False for plain services.
    Base::Duration waited{}; ///< Time since the first decision on the request.
    TriedEndpoints tried;
};

enum class Outcome : std::uint8_t {
    Send,
    Wait, ///< All endpoints or the warm one are at their bound: queue the request or refuse it.
    Refuse ///< No endpoint is usable.
};

/// Reason of a decision; for time lines and metrics.
enum class DecisionReason : std::uint8_t {
    Warm, ///< The chat's prefix is presumably cached at the endpoint.
    Home, ///< The endpoint is the first in the chat's rendezvous order.
    Overflow, ///< The warm endpoint, or the ones earlier in the chat's order, are at their bound.
    Trial, ///< The endpoint is the first in the chat's order, and is suspected but due for a trial.
    Baseline, ///< The policy considers neither cache nor load bound.
    AllFull, ///< All usable endpoints are at their bound.
    WarmFull, ///< The warm endpoint is at its bound, and a short wait costs less than a cache miss.
    NoneUsable ///< All endpoints are leaving, suspected or already tried.
};

std::string_view toString(DecisionReason reason);

struct Decision
{
    Outcome outcome = Outcome::Refuse;
    EndpointIndex endpoint = noEndpoint;
    Base::Tokens expectedCached; ///< Prompt tokens presumably cached at the endpoint.
    Base::WorkUnits work; ///< Work that the request adds to the endpoint's load.
    DecisionReason reason = DecisionReason::NoneUsable;
    Errors::ErrorKind refusal = Errors::ErrorKind::NoEndpoint; ///< Only if the outcome is not Send.
};

/// Chooses an endpoint among the candidates of a pool. Its only state is a counter.
class Selector
{
public:
    struct Options
    {
        Policy policy = Policy::Bounded;
        LoadBound::Options bound;
        double outputWeight = 8.0; ///< Work of an output token relative to a prompt token.
        /// Sends requests of services to other data centres only if no local endpoint is usable and
        /// below its bound.
        bool preferLocalServices = true;
        /// Number of endpoints, 1 or 2, that a request may overflow to: the first ones below their
        /// bound in the rendezvous order, of which the least loaded is chosen. Applies to requests
        /// of services, and to chats whose warm and home endpoints are at their bound. Only used by
        /// Policy::Bounded.
        int overflowCandidateCount = 2;
        /// Time that a request may wait for its warm endpoint for each 1000 tokens cached there;
        /// zero: never wait. Only used by Policy::Bounded.
        Base::Duration warmWaitPerThousandTokens = std::chrono::milliseconds(100);
        /// Upper limit of the wait for the warm endpoint, however many tokens are cached there.
        Base::Duration maximumWarmWait = std::chrono::milliseconds(300);
    };

    explicit Selector(Options options)
        : m_options(options)
        , m_bound(options.bound)
    { }

    /// `candidates` is indexed by EndpointIndex, `members` are the endpoints of the request's pool,
    /// `warm` are the endpoints to prefer, best first. Allocates no memory.
    Decision choose(const RouteRequest &request, std::span<const Candidate> candidates,
                    std::span<const EndpointIndex> members, std::span<const WarmEndpoint> warm);

    /// Work of the request if `cached` tokens of its prompt need no prefill.
    double workOf(const RouteRequest &request, Base::Tokens cached) const;
    const Options &options() const { return m_options; }
    void setOptions(const Options &options)
    {
        m_options = options;
        m_bound = LoadBound(options.bound);
    }

private:
    struct Scan;

    Decision chooseBounded(const RouteRequest &request, std::span<const Candidate> candidates,
                           std::span<const EndpointIndex> members,
                           std::span<const WarmEndpoint> warm);
    Scan scanBounded(const RouteRequest &request, std::span<const Candidate> candidates,
                     std::span<const EndpointIndex> members, const PoolTotals &totals,
                     bool localOnly) const;
    EndpointIndex chooseCold(const RouteRequest &request, std::span<const Candidate> candidates,
                             const PoolTotals &totals, const Scan &scan) const;
    EndpointIndex chooseWarm(const RouteRequest &request, std::span<const Candidate> candidates,
                             std::span<const WarmEndpoint> warm, const PoolTotals &totals,
                             Base::Tokens *cached) const;
    bool shouldWaitForWarm(const RouteRequest &request, std::span<const Candidate> candidates,
                           std::span<const WarmEndpoint> warm) const;
    EndpointIndex nextRoundRobin(const RouteRequest &request, std::span<const Candidate> candidates,
                                 std::span<const EndpointIndex> members);
    EndpointIndex leastLoaded(const RouteRequest &request, std::span<const Candidate> candidates,
                              std::span<const EndpointIndex> members) const;
    EndpointIndex lessLoadedOfTwo(const RouteRequest &request,
                                  std::span<const Candidate> candidates,
                                  std::span<const EndpointIndex> members);
    EndpointIndex firstInOrder(const RouteRequest &request, std::span<const Candidate> candidates,
                               std::span<const EndpointIndex> members) const;
    Decision sendTo(const RouteRequest &request, EndpointIndex endpoint, Base::Tokens cached,
                    DecisionReason reason) const;

    Options m_options;
    LoadBound m_bound;
    std::uint64_t m_selectionCounter = 0;
};

} // namespace Lagoonbank::Routing
