#pragma once

#include "gateway/endpointregistry.h"
#include "schema/generated/fleetsync.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace Lagoonbank::Gateway {

/// What routers tell each other of endpoints' loads. Of hundreds of endpoints a router of hundreds
/// hears one once a minute, so that it knows neither which have far too much to do nor what is
/// usual. All that its choices need are these two: an endpoint that nobody tells of has about the
/// usual load.
///
/// Pure: time is an argument.
class LoadSharing
{
public:
    struct Options
    {
        EndpointRegistry *registry = nullptr;
        std::uint64_t randomSeed = 1;
        /// Told are endpoints with so many times the usual load and so many requests more, and what
        /// becomes of them: fewer than what a prompt leaves its home for, so that routers that send
        /// there meanwhile can count up.
        double hotFactor = 1.2;
        double hotSlack = 1;
        /// For so long after it was last seen with so much: until all have heard that it has less.
        Base::Duration hotLifetime = std::chrono::milliseconds(2500);
        /// Reports that are older are told no more: an engine that is asked for much goes from the
        /// usual load to the fleet's bound in half of this time.
        Base::Duration maximumReportAge = std::chrono::milliseconds(800);
        /// In one datagram, 16 bytes each; of more the newest are told.
        std::size_t maximumLoads = 5;
    };

    explicit LoadSharing(Options options)
        : m_options(options)
        , m_random(m_options.randomSeed)
    { }

    /// What a peer ought to know.
    Schema::LoadNews announcement(Base::MonoTime now);
    /// A peer has told this; it came \a delay ago.
    void merge(const Schema::LoadNews &announcement, Base::Duration delay, Base::MonoTime now);

private:
    void keepNewest(std::vector<Schema::SharedLoad> &loads);
    void noteHot(EndpointRecord &endpoint, double usual, Base::MonoTime now) const;

    Options m_options;
    std::mt19937_64 m_random;
};

} // namespace Lagoonbank::Gateway
