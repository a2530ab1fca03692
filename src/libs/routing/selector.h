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

/// What a decision reads of one endpoint, kept ready so that a scan touches little memory.
struct Candidate
{
    enum class Use : std::uint8_t {
        No, ///< Leaving, removed or suspected.
        Trial, ///< Suspected before; takes one repeatable request to find out.
        Yes
    };

    std::uint64_t hash = 0;
    double weight = 1.0; ///< Capacity times the slow-start share.
    double load = 0.0;
    Use use = Use::No;
    bool local = false; ///< In this router's data centre.
};

/// A place where the chat's prefix may be cached.
struct WarmEndpoint
{
    EndpointIndex endpoint = noEndpoint;
    Base::Tokens cached;
};

/// Endpoints that one request has been tried at and shall not be sent to again.
class TriedEndpoints
{
public:
    static constexpr std::size_t limit = 8;

    /// Returns false when the list is full; the request has then had tries enough.
    bool add(EndpointIndex endpoint);
    bool contains(EndpointIndex endpoint) const;
    std::size_t size() const { return m_count; }

private:
    std::array<EndpointIndex, limit> m_items{};
    std::size_t m_count = 0;
};

/// One request, as far as the choice of its endpoint depends on it.
struct RouteRequest
{
    PoolIndex pool = noPool;
    std::uint64_t chatHash =
        0; ///< Of workspace and chat; of the request id where no chat is named.
    Base::Tokens promptTokens;
    Base::Tokens expectedOutput;
    std::uint8_t priority = 1; ///< Zero is most urgent.
    bool repeatable = true;
    bool usesCache = true; ///< False for plain services.
    Base::Duration waited{}; ///< Since the first decision on the request.
    TriedEndpoints tried;
};

enum class Outcome : std::uint8_t {
    Send,
    Wait, ///< To be queued, or refused as not run: all are at their bound, or the warm one is.
    Refuse ///< No endpoint can take it at all.
};

/// Why the endpoint was taken; for time lines and metrics.
enum class DecisionReason : std::uint8_t {
    Warm, ///< The chat's prefix is thought to be cached there.
    Home, ///< First in the chat's order.
    Overflow, ///< Endpoints before it in the chat's order, or the warm one, were at their bound.
    Trial, ///< First in the chat's order, and on trial after failures.
    Baseline, ///< The policy looks at neither cache nor bound.
    AllFull,
    WarmFull, ///< The warm one is at its bound, and a short wait for it pays.
    NoneUsable
};

std::string_view toString(DecisionReason reason);

struct Decision
{
    Outcome outcome = Outcome::Refuse;
    EndpointIndex endpoint = noEndpoint;
    Base::Tokens expectedCached;
    Base::WorkUnits work; ///< To be counted as sent.
    DecisionReason reason = DecisionReason::NoneUsable;
    Errors::ErrorKind refusal = Errors::ErrorKind::NoEndpoint; ///< If the outcome is not Send.
};

/// Chooses among the candidates of one pool. Keeps no state but a counter for turns.
class Selector
{
public:
    struct Options
    {
        Policy policy = Policy::Bounded;
        LoadBound::Options bound;
        double outputWeight = 8.0; ///< Work of one output token against one of prompt.
        bool localServices = true; ///< Services: this data centre first, others over its bound.
        /// Bounded only: what finds no room at its warm endpoint or home, and any call of a
        /// service, takes the less loaded of this many next endpoints; 1 or 2.
        int overflowChoices = 2;
        /// Bounded only: how long a request may wait for its warm endpoint, for each 1000 tokens
        /// cached there, and at most; zero for never.
        Base::Duration warmWaitPerThousandTokens = std::chrono::milliseconds(100);
        Base::Duration maximumWarmWait = std::chrono::milliseconds(300);
    };

    explicit Selector(Options options)
        : m_options(options)
        , m_bound(options.bound)
    { }

    /// `candidates` is indexed by EndpointIndex, `members` are those of the request's pool,
    /// `warm` the places to try first, best first. Allocates nothing.
    Decision choose(const RouteRequest &request, std::span<const Candidate> candidates,
                    std::span<const EndpointIndex> members, std::span<const WarmEndpoint> warm);

    /// Work of the request where `cached` tokens of its prompt need no prefill.
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
    std::uint64_t m_counter = 0;
};

} // namespace Lagoonbank::Routing
