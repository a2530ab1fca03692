#pragma once

#include "gateway/endpointregistry.h"
#include "schema/generated/fleetsync.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace Lagoonbank::Gateway {

/// Exchanges the loads of endpoints between routers. Among hundreds of routers and endpoints, a
/// router gets a report from each endpoint about once a minute. These reports are too few to find
/// overloaded endpoints or to estimate the average load. Placement needs only these two: an
/// endpoint whose load no router announces has about the average load.
///
/// Does no I/O and reads no clock.
class LoadSharing
{
public:
    struct Options
    {
        EndpointRegistry *registry = nullptr;
        std::uint64_t randomSeed = 1;
        /// An endpoint is hot if its load exceeds hotLoadFactor x average load + hotLoadSlack. Its
        /// load is then announced to peers. The threshold is below the load at which requests
        /// overflow from their home endpoint, so that routers can still place requests there while
        /// the announcement propagates.
        double hotLoadFactor = 1.2;
        double hotLoadSlack = 1;
        /// Time for which an endpoint is announced after it was last hot, until all routers have
        /// received its lower load.
        Base::Duration hotLifetime = std::chrono::milliseconds(2500);
        /// Maximum age of an announced report. The load of an engine with a popular prompt rises
        /// from the average to the load bound of the fleet in half of this time.
        Base::Duration maximumReportAge = std::chrono::milliseconds(800);
        /// Maximum number of loads in one datagram, 16 bytes each. The newest ones are chosen.
        std::size_t maximumLoads = 5;
    };

    explicit LoadSharing(Options options)
        : m_options(options)
        , m_random(m_options.randomSeed)
    { }

    /// The average loads and the loads of hot endpoints, to be sent to a peer.
    Schema::LoadUpdate announcement(Base::MonoTime now);
    /// Merges the announcement of a peer, which was received \a delay ago.
    void merge(const Schema::LoadUpdate &announcement, Base::Duration delay, Base::MonoTime now);

private:
    void keepNewest(std::vector<Schema::SharedLoad> &loads);
    void noteHot(EndpointRecord &endpoint, double averageLoad, Base::MonoTime now) const;

    Options m_options;
    std::mt19937_64 m_random;
};

} // namespace Lagoonbank::Gateway
