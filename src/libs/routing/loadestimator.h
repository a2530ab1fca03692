#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "routing/endpointtable.h"
#include "routing/workhistory.h"

#include <cstdint>
#include <vector>

namespace Lagoonbank::Routing {

/// One load report of an endpoint as this router learnt it.
struct LoadReport
{
    Base::WorkUnits work; ///< Work taken on and not yet done, at the sample.
    Base::MonoTime sampledAt; ///< On this router's clock: the time it came less its age.
    Base::Incarnation incarnation; ///< Zero where the endpoint tells none.
};

/// Work that this router sent; handed back when it is done. Of no effect once the endpoint has
/// been reset, so that late ends of lost requests take nothing off the new ones.
struct SentWork
{
    EndpointIndex endpoint = noEndpoint;
    std::uint32_t generation = 0;
    double remaining = 0.0; ///< What still counts as in flight.
};

/// Dense number of a peer router.
using PeerIndex = std::uint32_t;

/// Estimates the load of each endpoint between late reports: the last report, plus what this
/// router and its peers have in flight there beyond what they had when the report was sampled.
class LoadEstimator
{
public:
    struct Options
    {
        /// Age at which a report starts to lose weight against the mean of the others.
        Base::Duration staleAfter = std::chrono::seconds(2);
        /// Time from staleAfter until a report counts for nothing.
        Base::Duration fadeTime = std::chrono::seconds(4);
    };

    explicit LoadEstimator(Options options)
        : m_options(options)
    { }
    LoadEstimator()
        : LoadEstimator(Options{})
    { }

    /// Makes room for indices below `size`; new ones are idle.
    void resize(std::size_t size);
    /// The index stands for another endpoint, or the endpoint has lost all its work.
    void reset(EndpointIndex endpoint);

    /// Returns false for a report that is older than the one held or of an older incarnation.
    /// A newer incarnation drops what was in flight before it.
    bool noteReport(EndpointIndex endpoint, const LoadReport &report, Base::MonoTime now);
    /// Work of a request that is about to leave for the endpoint.
    SentWork noteSent(EndpointIndex endpoint, Base::WorkUnits work, Base::MonoTime now);
    /// A part of the work is done, such as tokens that have come.
    void noteProgress(SentWork *sent, Base::WorkUnits done, Base::MonoTime now);
    /// All that is left is done or will never run.
    void noteEnded(SentWork *sent, Base::MonoTime now);

    /// What a peer had in flight at the endpoint by its latest digest; replaces the former.
    void notePeerInFlight(PeerIndex peer, EndpointIndex endpoint, Base::WorkUnits inFlight,
                          Base::MonoTime now);
    /// Whether peers' work in flight is known of all of them and fresh. All load comes from
    /// routers, so that then it is the sum of their work and late reports add nothing.
    /// False if it was so already.
    bool setPeersComplete(bool complete);
    /// The peer is gone; what it had in flight no longer counts.
    void removePeer(PeerIndex peer, Base::MonoTime now);

    /// Fades old reports; to be called every 100 ms or so. Costs one pass over the endpoints.
    void refresh(const EndpointTable &table, Base::MonoTime now);

    /// Estimated work at the endpoint; never negative.
    double load(EndpointIndex endpoint) const { return m_load[endpoint]; }
    Base::WorkUnits ownInFlight(EndpointIndex endpoint) const;
    Base::WorkUnits peersInFlight(EndpointIndex endpoint) const;
    Base::Incarnation incarnation(EndpointIndex endpoint) const
    {
        return m_rows[endpoint].incarnation;
    }
    /// Whether the endpoint has not been reset since this was sent.
    bool isCurrent(const SentWork &sent) const
    {
        return sent.endpoint < m_rows.size() && m_rows[sent.endpoint].generation == sent.generation;
    }
    bool hasReport(EndpointIndex endpoint) const { return m_rows[endpoint].reported; }

private:
    struct Row
    {
        WorkHistory own;
        WorkHistory peers;
        double reportedWork = 0.0;
        double unattributed = 0.0; ///< Reported work that neither own nor peers' digests explain.
        double fadedUnattributed = 0.0; ///< The unexplained part that still counts after fading.
        Base::MonoTime sampledAt;
        Base::Incarnation incarnation;
        std::uint32_t generation = 0;
        bool reported = false;
    };

    void update(EndpointIndex endpoint);
    double weightOf(const Row &row, Base::MonoTime now) const;

    Options m_options;
    bool m_arePeersComplete = false;
    std::vector<Row> m_rows;
    std::vector<double> m_load;
    std::vector<std::vector<float>> m_peerWork; ///< By peer, then endpoint.
};

} // namespace Lagoonbank::Routing
