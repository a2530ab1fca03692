#pragma once

#include "base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace Lagoonbank::Membership {

/// Who goes first when the budget is short.
enum class ControlPriority : std::uint8_t {
    Essential, ///< Pings and acks themselves; may overdraw a little.
    Configuration, ///< Leaving endpoints, configuration revision.
    Membership,
    Load,
    Demand
};

/// What control bytes were spent on.
enum class ControlTraffic : std::uint8_t {
    Ping,
    Ack,
    PingRequest,
    Gossip,
    Outdated,
    Pull, ///< Requests and answers over TCP; metered, with a bucket of their own.
    Probe, ///< Probes of endpoints.
    Beacon ///< Work in flight, told directly.
};
constexpr std::size_t controlTrafficCount = 8;
std::string_view toString(ControlTraffic traffic);

/// Token bucket over what a process sends for control, headers of UDP and IP included.
class ControlBudget
{
public:
    struct Options
    {
        /// Under 5 KB/s by a margin, so that bursts stay under it over ten seconds as well.
        double bytesPerSecond = 4600;
        double burstBytes = 4600;
        /// How far pings and acks may overdraw, so that a full bucket of digests can't make a
        /// member look dead.
        double overdraftBytes = 2300;
        /// Pulls over TCP happen at starts and after partitions.
        double pullBytesPerSecond = 65536;
        double pullBurstBytes = 2.0 * 1024 * 1024;
    };

    ControlBudget();
    explicit ControlBudget(const Options &options);

    /// Bytes that something of this priority may take now; each leaves a reserve for those above.
    std::size_t available(ControlPriority priority, Base::MonoTime now);
    /// Takes \a bytes if the priority may; false if it has to wait.
    bool take(ControlPriority priority, ControlTraffic traffic, std::size_t bytes,
              Base::MonoTime now);
    /// The same for a pull, whose bucket is apart.
    bool takePull(std::size_t bytes, Base::MonoTime now);

    std::uint64_t spentBytes() const;
    std::uint64_t spentBytes(ControlTraffic traffic) const
    {
        return m_spent.at(static_cast<std::size_t>(traffic));
    }
    std::uint64_t refusals() const { return m_refusals; }

    /// For metrics.
    std::function<void(ControlTraffic traffic, std::size_t bytes)> spent;

private:
    struct Bucket
    {
        double tokens = 0;
        Base::MonoTime filledAt{};
        void refill(double rate, double burst, Base::MonoTime now);
    };
    void record(ControlTraffic traffic, std::size_t bytes);

    Options m_options;
    Bucket m_bucket;
    Bucket m_pulls;
    std::array<std::uint64_t, controlTrafficCount> m_spent{};
    std::uint64_t m_refusals = 0;
};

} // namespace Lagoonbank::Membership
