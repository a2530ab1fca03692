#pragma once

#include "base/strongtype.h"
#include "base/units.h"
#include "gateway/softwareversions.h"
#include "schema/generated/fleetsync.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace Lagoonbank::Gateway {

/// Hash of the id of the request that began a stream; the same on every router.
using StreamHash = Base::StrongNumber<struct StreamHashTag, std::uint64_t>;

StreamHash streamHash(std::string_view request);

/// A stream that callers may resume, and the version that began it.
struct StreamOrigin
{
    StreamHash stream;
    SoftwareHash software;
};
Schema::SharedStream toShared(const StreamOrigin &origin);
StreamOrigin fromShared(const Schema::SharedStream &shared);

/// Remembers for a while which software version began a stream. Reads no clock.
class StreamDirectory
{
public:
    struct Options
    {
        /// Time for which a stream is remembered after its last event that this router knows of.
        /// Exceeds the timeouts of streams, which are seconds.
        Base::Duration lifetime = std::chrono::minutes(1);
        /// Maximum number of streams; the oldest ones are forgotten first. A router of a small
        /// fleet begins or is told of 100 streams in a second.
        std::size_t maxStreams = 16384;
    };

    struct Entry
    {
        SoftwareHash software;
        Base::MonoTime recordedAt;
    };

    explicit StreamDirectory(const Options &options)
        : m_options(options)
    { }

    void record(const StreamOrigin &origin, Base::MonoTime now);
    /// The version that began a stream, and when the stream was last recorded; null if it is
    /// unknown. Valid until the directory changes.
    const Entry *find(StreamHash stream, Base::MonoTime now) const;
    /// The streams that one of these versions began, the latest ones first.
    std::vector<StreamOrigin> latest(const std::set<SoftwareHash> &software,
                                     Base::MonoTime now) const;
    std::size_t size() const { return m_streams.size(); }

private:
    struct Recording
    {
        StreamHash stream;
        Base::MonoTime at;
    };

    void forgetOldest();

    Options m_options;
    absl::flat_hash_map<StreamHash, Entry> m_streams;
    std::deque<Recording> m_recordings; ///< All recordings, the oldest first.
};

} // namespace Lagoonbank::Gateway
