#pragma once

#include "base/units.h"
#include "gateway/promptparts.h"
#include "gateway/requestfingerprint.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace Lagoonbank::Gateway {

/// A crash of an endpoint at which a request with this prompt part waited for its answer to begin.
struct PartCrash
{
    PartHash part;
    int depth = 0; ///< Position of the part in the prompt; 0 is the first.
    RequestFingerprint request;
    std::uint64_t endpoint = 0; ///< EndpointRecord::startHash.
    Base::MonoTime at; ///< When the endpoint crashed.
};

/// Collects crashes of endpoints and finds the prompt parts that may have caused them.
///
/// A part that crashes endpoints was waiting at each of them, and no answer to a request with it
/// ever begins. Hence an answer that has begun acquits all parts of its prompt of the crashes until
/// then. What remains against a part are crashes under different requests and at different times:
/// repeats of one request point at the request, and a cut of the network ends many connections at
/// once.
///
/// The class reads no clock; time is an argument.
class PartEvidence
{
public:
    struct Options
    {
        /// Number of crashes of which a part must not be acquitted to be a suspect.
        std::size_t crashesToSuspect = 3;
        /// Crashes within this time of each other count as one. It is longer than routers need
        /// to notice a cut of the network.
        Base::Duration simultaneity = std::chrono::milliseconds(250);
        /// Time for which crashes are remembered. Callers that send such a part do so within
        /// minutes.
        Base::Duration lifetime = std::chrono::minutes(10);
        /// Maximum number of parts that are remembered for each crash. An endpoint runs about a
        /// hundred requests, each with a few parts, most of them shared.
        std::size_t maxPartsPerCrash = 256;
    };

    /// A part that may have caused crashes.
    struct Suspect
    {
        PartHash part;
        /// Number of crashes at different times and under different requests.
        std::size_t crashes = 0;
        std::size_t endpoints = 0; ///< Number of endpoints that have crashed.
        Base::MonoTime since; ///< Time of the first of the crashes.
    };

    /// Maximum number of crashes that are remembered; the oldest ones are dropped first.
    static constexpr std::size_t maxCrashes = 64;

    explicit PartEvidence(Options options)
        : m_options(options)
    { }

    void crashed(const PartCrash &crash);
    /// Records that the answer to a request with \a part began at this time.
    void begun(PartHash part, Base::MonoTime at);
    /// Records that \a part has caused the crashes in which it took part, so that no other part is
    /// blamed for them.
    void explain(PartHash part);
    /// The same for one crash.
    void explainCrash(std::uint64_t endpoint, Base::MonoTime at);
    /// The crashes that are remembered, for a router that starts.
    std::vector<PartCrash> crashes(Base::MonoTime now) const;
    /// Parts with at least crashesToSuspect crashes, the strongest suspect first. A part is left
    /// out if one further down in the prompts, which fewer requests share, took part in all of its
    /// crashes.
    std::vector<Suspect> suspects(Base::MonoTime now) const;

private:
    struct Presence
    {
        int depth = 0;
        std::vector<RequestFingerprint> requests;
    };
    struct Crash
    {
        std::uint64_t endpoint = 0;
        Base::MonoTime at;
        /// Time of the first one of the crashes that count as one.
        Base::MonoTime groupStart;
        absl::flat_hash_map<PartHash, Presence> parts;
        bool isExplained = false; ///< The cause is known; no part is recorded any more.
    };

    struct Tally
    {
        std::bitset<maxCrashes> crashes; ///< By index in m_crashes.
        absl::flat_hash_set<Base::MonoTime::rep> times; ///< Crash::groupStart of the crashes.
        /// Number of crashes under each request with the part.
        absl::flat_hash_map<RequestFingerprint, std::size_t> requests;
        int depth = 0;
        Base::MonoTime since; ///< Time of the first of the crashes.
    };

    absl::flat_hash_map<PartHash, Tally> tallies(Base::MonoTime now) const;
    /// Returns the entry of a crash, which several routers report.
    Crash &crashOf(std::uint64_t endpoint, Base::MonoTime at);
    void dropOldest();

    Options m_options;
    std::deque<Crash> m_crashes; ///< In the order in which they became known.
};

} // namespace Lagoonbank::Gateway
