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

/// The newest load sample of each endpoint, taken by any router, and the work that peers sent to
/// the endpoint after its sample. Each sample is sent a limited number of times, the least often
/// sent first, so that successive datagrams cover a table that does not fit into one.
class LoadDigests
{
public:
    struct Options
    {
        Base::Duration maxAge = std::chrono::seconds(5); ///< Older samples are not sent.
        /// Work sent by a peer is ignored once the peer's report of it is older than this.
        Base::Duration peerWorkMaxAge = std::chrono::seconds(2);
        /// How many times a sample, or a change of the work sent by this process, is sent.
        std::uint32_t sends = 4;
    };
    struct Sample
    {
        Base::WorkUnits work;
        Base::MonoTime sampledAt;
    };

    LoadDigests();
    explicit LoadDigests(const Options &options);

    /// Records a sample that this process received from the endpoint itself; false if the stored
    /// one is as new or newer.
    bool report(const Base::EndpointId &endpoint, Base::WorkUnits work, Base::MonoTime sampledAt);
    /// Sets the work that this process sent to the endpoint after its newest sample.
    void setOwnWorkSinceSample(const Base::EndpointId &endpoint, Base::WorkUnits work);
    /// Merges a report of the peer \a origin; true if its sample is newer than the stored one.
    bool receive(std::uint32_t origin, const LoadReport &report, Base::MonoTime now);

    std::optional<Sample> sample(const Base::EndpointId &endpoint) const;
    std::optional<Sample> sample(std::uint32_t endpointKey) const;
    /// Total work that peers sent to the endpoint after its sample, according to reports that are
    /// not older than Options::peerWorkMaxAge.
    Base::WorkUnits peerWorkSinceSample(const Base::EndpointId &endpoint, Base::MonoTime now) const;

    /// Returns the due reports that fit into \a bytes and counts them as sent once more.
    std::vector<LoadReport> take(std::size_t bytes, Base::MonoTime now);
    /// Whether any report is due.
    bool hasDue(Base::MonoTime now) const;
    void remove(const Base::EndpointId &endpoint);
    std::size_t size() const { return m_entries.size(); }

private:
    struct PeerWork
    {
        std::uint32_t origin = 0;
        double work = 0;
        Base::MonoTime receivedAt;
    };
    struct Entry
    {
        double work = 0;
        Base::MonoTime sampledAt{};
        bool hasSample = false;
        double ownWorkSinceSample = 0;
        std::uint32_t sends = 0;
        std::vector<PeerWork> peers;
    };
    bool isDue(const Entry &entry, Base::MonoTime now) const;

    Options m_options;
    absl::flat_hash_map<std::uint32_t, Entry> m_entries;
};

} // namespace Lagoonbank::Membership
