#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "membership/peermessages.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Lagoonbank::Membership {

/// The freshest load sample of each endpoint, whoever saw it, and what peers sent since.
/// Samples are passed on a few times each, those passed on least first, so that a long table
/// rotates through the datagrams.
class LoadDigests
{
public:
    struct Options
    {
        Base::Duration maxAge = std::chrono::seconds(5); ///< Older samples aren't passed on.
        Base::Duration peerWorkMaxAge = std::chrono::seconds(2); ///< How long a peer's word counts.
        /// How often a sample or a change of own work is sent on.
        std::uint32_t sends = 4;
    };
    struct Sample
    {
        Base::WorkUnits work;
        Base::MonoTime sampledAt;
    };

    LoadDigests();
    explicit LoadDigests(const Options &options);

    /// A report that this process got from the endpoint itself; false if a fresher one is known.
    bool report(const Base::EndpointId &endpoint, Base::WorkUnits work, Base::MonoTime sampledAt);
    /// Work that this process sent to the endpoint after its freshest sample.
    void setSentSince(const Base::EndpointId &endpoint, Base::WorkUnits work);
    /// A peer's report; true if its sample was fresher than the known one.
    bool receive(std::uint32_t origin, const LoadReport &report, Base::MonoTime now);

    std::optional<Sample> sample(const Base::EndpointId &endpoint) const;
    std::optional<Sample> sample(std::uint32_t endpointKey) const;
    /// Sum of what peers said, in the last moments, that they sent after the sample.
    Base::WorkUnits peersSentSince(const Base::EndpointId &endpoint, Base::MonoTime now) const;

    /// Reports due that fit into \a bytes; marks them as sent.
    std::vector<LoadReport> take(std::size_t bytes, Base::MonoTime now);
    /// Whether take() would return any.
    bool hasDue(Base::MonoTime now) const;
    void remove(const Base::EndpointId &endpoint);
    std::size_t size() const { return m_entries.size(); }

private:
    struct PeerWork
    {
        std::uint32_t origin = 0;
        double work = 0;
        Base::MonoTime at;
    };
    struct Entry
    {
        double work = 0;
        Base::MonoTime sampledAt{};
        bool hasSample = false;
        double sentSince = 0;
        std::uint32_t sends = 0;
        std::vector<PeerWork> peers;
    };
    bool isDue(const Entry &entry, Base::MonoTime now) const;

    Options m_options;
    absl::flat_hash_map<std::uint32_t, Entry> m_entries;
};

} // namespace Lagoonbank::Membership
