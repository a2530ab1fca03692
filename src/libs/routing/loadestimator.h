#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "routing/endpointtable.h"
#include "routing/workhistory.h"

#include <cstdint>
#include <vector>

namespace Lagoonbank::Routing {

/// One load report of an endpoint as this router received it.
struct LoadReport
{
    Base::WorkUnits work; ///< Work accepted but not finished at the time of the sample.
    Base::MonoTime sampledAt; ///< On this router's clock: time of receipt minus the report's age.
    Base::Incarnation incarnation; ///< Zero if the endpoint reports none.
};

/// Handle for work that this router sent, passed back as the work progresses and ends. It has no
/// effect once the endpoint has been reset, so that late ends of lost requests don't reduce the
/// load of newer ones.
struct SentWork
{
    EndpointIndex endpoint = noEndpoint;
    std::uint32_t generation = 0;
    double remaining = 0.0; ///< Work that still counts as in flight.
};

/// Dense index of a peer router.
using PeerIndex = std::uint32_t;

/// Estimates the load of each endpoint between delayed reports: the load in the last report, plus
/// the change since its sample in the work that this router and its peers have in flight there.
class LoadEstimator
{
public:
    struct Options
    {
        /// Age from which a report loses weight in favour of the average load of the others.
        Base::Duration staleAfter = std::chrono::seconds(2);
        /// Time in which the weight of a report falls from one to zero once its age has reached
        /// staleAfter.
        Base::Duration fadeTime = std::chrono::seconds(4);
    };

    explicit LoadEstimator(Options options)
        : m_options(options)
    { }
    LoadEstimator()
        : LoadEstimator(Options{})
    { }

    /// Grows the tables to `size` endpoints; new ones are idle.
    void resize(std::size_t size);
    /// Clears the load; to be called when the index is reused for another endpoint or the endpoint
    /// has restarted.
    void reset(EndpointIndex endpoint);

    /// Returns false for a report that is older than the current one or of an older incarnation.
    /// A newer incarnation discards the work that was in flight before it.
    bool noteReport(EndpointIndex endpoint, const LoadReport &report, Base::MonoTime now);
    /// Adds the work of a request that is about to be sent to the endpoint.
    SentWork noteSent(EndpointIndex endpoint, Base::WorkUnits work, Base::MonoTime now);
    /// Subtracts work that has been done, such as output tokens received.
    void noteProgress(SentWork *sent, Base::WorkUnits done, Base::MonoTime now);
    /// Subtracts all remaining work, which is done or will never run.
    void noteEnded(SentWork *sent, Base::MonoTime now);

    /// Sets the work that a peer has in flight at the endpoint according to its latest digest.
    void notePeerInFlight(PeerIndex peer, EndpointIndex endpoint, Base::WorkUnits inFlight,
                          Base::MonoTime now);
    /// Sets whether the work in flight is known and fresh for all peers. As all load comes from
    /// routers, the load is then the sum of their work in flight, and endpoint reports are ignored.
    /// Returns false if nothing changed.
    bool setPeersComplete(bool complete);
    /// Removes a peer that is gone, and its work in flight.
    void removePeer(PeerIndex peer, Base::MonoTime now);

    /// Reduces the weight of old reports; to be called about every 100 ms. O(endpoints).
    void refresh(const EndpointTable &table, Base::MonoTime now);

    /// Estimated work at the endpoint; never negative.
    double load(EndpointIndex endpoint) const { return m_load[endpoint]; }
    Base::WorkUnits ownInFlight(EndpointIndex endpoint) const;
    Base::WorkUnits peersInFlight(EndpointIndex endpoint) const;
    Base::Incarnation incarnation(EndpointIndex endpoint) const
    {
        return m_rows[endpoint].incarnation;
    }
    /// Whether the endpoint has not been reset since the work was sent.
    bool isCurrent(const SentWork &sent) const
    {
        return sent.endpoint < m_rows.size() && m_rows[sent.endpoint].generation == sent.generation;
    }
    bool hasReport(EndpointIndex endpoint) const { return m_rows[endpoint].reported; }

private:
    struct Row
    {
        WorkHistory ownInFlight; ///< Work that this router has in flight.
        WorkHistory peersInFlight; ///< Work that all peers together have in flight.
        double reportedWork = 0.0;
        double unattributed = 0.0; ///< Reported work that neither this router nor its peers sent.
        double fadedUnattributed = 0.0; ///< `unattributed`, faded to the average of the others.
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
