#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "routing/endpointtable.h"
#include "routing/loadestimator.h"
#include "routing/placementtable.h"
#include "routing/placementtoken.h"
#include "routing/selector.h"
#include "routing/slowstart.h"
#include "routing/suspicion.h"

#include <optional>
#include <span>
#include <vector>

namespace Lagoonbank::Routing {

/// One change in an engine's prefix cache, as its event stream tells it.
struct CacheEvent
{
    enum class Kind : std::uint8_t { Stored, Evicted };

    Kind kind = Kind::Stored;
    std::uint64_t chatHash = 0;
    Base::Tokens tokens;
};

/// A sent request, from choose() to its end.
struct SentRequest
{
    SentWork work;
    bool trial = false;
};

/// All that one router knows of the endpoints, and its decisions. Joins the parts of this library;
/// holds no request and no socket.
///
/// The caller calls choose(), then noteSent() at once for what it sends, noteProgress() now and
/// then, and noteEnded() or noteCancelled() once.
class Router
{
public:
    struct Options
    {
        Base::DataCentreId dataCentre;
        Selector::Options selector;
        LoadEstimator::Options estimator;
        Suspicion::Options suspicion;
        SlowStart::Options slowStart;
        PlacementToken::Options tokens;
        std::size_t placements = 65536; ///< Chats whose places are remembered.
    };

    /// How often refresh() is to be called.
    static constexpr Base::Duration refreshInterval = std::chrono::milliseconds(100);

    explicit Router(const Options &options);
    /// Another policy for decisions from now on; what is known of endpoints and chats stays, and so
    /// do data centre, token keys and the number of placements.
    void setPolicy(const Options &options);

    // Endpoints.
    EndpointIndex upsert(const EndpointInfo &info, Base::MonoTime now);
    void remove(const Base::EndpointId &id, Base::MonoTime now);
    void setState(EndpointIndex endpoint, EndpointState state, Base::MonoTime now);
    const EndpointTable &endpoints() const { return m_table; }

    // What is learnt of them.
    /// `capacity` of zero leaves it as it is. Returns false for a report that came too late.
    bool noteReport(EndpointIndex endpoint, const LoadReport &report, Base::WorkUnits capacity,
                    Base::MonoTime now);
    void notePeerInFlight(PeerIndex peer, EndpointIndex endpoint, Base::WorkUnits inFlight,
                          Base::MonoTime now);
    void removePeer(PeerIndex peer, Base::MonoTime now);
    /// See LoadEstimator::setPeersComplete().
    void setPeersComplete(bool complete);
    /// A probe, or a peer's, has found the endpoint out of order.
    void suspect(EndpointIndex endpoint, Base::MonoTime now);
    void noteCacheEvent(EndpointIndex endpoint, const CacheEvent &event);
    /// The event stream had a gap: what is remembered of the endpoint may be wrong.
    void noteCacheGap(EndpointIndex endpoint);
    /// Lets time take effect: old reports, slow start, trials. Every refreshInterval.
    void refresh(Base::MonoTime now);

    // Requests.
    /// `token` is the place that the caller's token names, if any. Allocates nothing.
    Decision choose(const RouteRequest &request, const std::optional<Placement> &token);
    SentRequest noteSent(const Decision &decision, Base::MonoTime now);
    void noteProgress(SentRequest *sent, Base::WorkUnits done, Base::MonoTime now);
    void noteEnded(SentRequest *sent, ExchangeResult result, Base::MonoTime now);
    /// Ended without telling of the endpoint's health, as when the caller left.
    void noteCancelled(SentRequest *sent, Base::MonoTime now);
    /// The endpoint has served the chat and now holds so many tokens of it.
    Placement noteServed(std::uint64_t chatHash, EndpointIndex endpoint, Base::Tokens cached);

    /// Work of one token of an answer.
    double outputWeight() const { return m_options.selector.outputWeight; }
    const PlacementToken &tokens() const { return m_tokens; }
    std::span<const Candidate> candidates() const { return m_candidates; }
    const LoadEstimator &loads() const { return m_loads; }
    Suspicion::State suspicion(EndpointIndex endpoint) const { return m_suspicion.state(endpoint); }

private:
    void updateCandidate(EndpointIndex endpoint, Base::MonoTime now);
    void updateLoad(EndpointIndex endpoint);

    Options m_options;
    EndpointTable m_table;
    LoadEstimator m_loads;
    Suspicion m_suspicion;
    SlowStart m_slowStart;
    PlacementTable m_placements;
    PlacementToken m_tokens;
    Selector m_selector;
    std::vector<Candidate> m_candidates;
};

} // namespace Lagoonbank::Routing
