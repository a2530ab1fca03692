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

/// One event of an engine's prefix cache, received over its event stream.
struct CacheEvent
{
    enum class Kind : std::uint8_t { Stored, Evicted };

    Kind kind = Kind::Stored;
    std::uint64_t chatHash = 0;
    Base::Tokens tokens; ///< Tokens cached; for Stored only.
};

/// Handle for a sent request, from noteSent() until noteEnded() or noteCancelled().
struct SentRequest
{
    SentWork work;
    bool trial = false; ///< Sent as a trial of a suspected endpoint.
};

/// State of all endpoints as one router sees it, and the choice of an endpoint for each request.
/// Combines the classes of this library; owns neither requests nor sockets.
///
/// Call choose(), then noteSent() at once if the request is sent, noteProgress() from time to time,
/// and noteEnded() or noteCancelled() once.
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
        std::size_t placements = 65536; ///< Number of chats whose placement is stored.
    };

    /// Interval at which refresh() has to be called.
    static constexpr Base::Duration refreshInterval = std::chrono::milliseconds(100);

    explicit Router(const Options &options);
    /// Sets the options of selector, suspicion and slow start for later decisions. The state of
    /// endpoints and chats and all other options stay.
    void setPolicy(const Options &options);

    // Endpoints.
    EndpointIndex upsert(const EndpointInfo &info, Base::MonoTime now);
    void remove(const Base::EndpointId &id, Base::MonoTime now);
    void setState(EndpointIndex endpoint, EndpointState state, Base::MonoTime now);
    const EndpointTable &endpoints() const { return m_table; }

    // Load and health of endpoints.
    /// A `capacity` of zero keeps the current one. Returns false for an outdated report.
    bool noteReport(EndpointIndex endpoint, const LoadReport &report, Base::WorkUnits capacity,
                    Base::MonoTime now);
    void notePeerInFlight(PeerIndex peer, EndpointIndex endpoint, Base::WorkUnits inFlight,
                          Base::MonoTime now);
    void removePeer(PeerIndex peer, Base::MonoTime now);
    /// See LoadEstimator::setPeersComplete().
    void setPeersComplete(bool complete);
    /// Suspects the endpoint at once because a probe of this router or a peer has failed.
    void suspect(EndpointIndex endpoint, Base::MonoTime now);
    void noteCacheEvent(EndpointIndex endpoint, const CacheEvent &event);
    /// Drops the placements at the endpoint, which may be wrong after a gap in its event stream.
    void noteCacheGap(EndpointIndex endpoint);
    /// Updates what depends on the time: weight of reports, slow start, trials.
    void refresh(Base::MonoTime now);

    // Requests.
    /// `token` is the placement from the caller's token, if any. Allocates no memory.
    Decision choose(const RouteRequest &request, const std::optional<Placement> &token);
    SentRequest noteSent(const Decision &decision, Base::MonoTime now);
    void noteProgress(SentRequest *sent, Base::WorkUnits done, Base::MonoTime now);
    void noteEnded(SentRequest *sent, ExchangeResult result, Base::MonoTime now);
    /// Ends a request without evidence of the endpoint's health, for example because the caller
    /// disconnected.
    void noteCancelled(SentRequest *sent, Base::MonoTime now);
    /// Stores that the endpoint has served the chat and now caches `cached` tokens of it.
    Placement noteServed(std::uint64_t chatHash, EndpointIndex endpoint, Base::Tokens cached);

    /// Work of one output token.
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
