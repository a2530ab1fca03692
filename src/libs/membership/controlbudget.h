#pragma once

#include "base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace Lagoonbank::Membership {

/// Priorities of control messages, highest first. When the budget is nearly exhausted, only
/// messages of the higher priorities are sent.
enum class ControlPriority : std::uint8_t {
    Essential, ///< Pings and acks; may overdraw the budget up to Options::overdraftBytes.
    Configuration, ///< Leaving endpoints and the configuration revision.
    Membership,
    Load,
    Demand
};

/// The kind of message that control bytes are accounted to.
enum class ControlTraffic : std::uint8_t {
    Ping,
    Ack,
    PingRequest,
    Gossip,
    Outdated,
    Pull, ///< Requests and answers over TCP; limited by a separate bucket.
    Probe, ///< Health probes of endpoints.
    Beacon ///< Work in flight, sent to peers in direct datagrams.
};
constexpr std::size_t controlTrafficCount = 8;
std::string_view toString(ControlTraffic traffic);

/// Token bucket that limits the control traffic a process sends, IP and UDP headers included.
class ControlBudget
{
public:
    struct Options
    {
        /// Refill rate of the bucket. The margin below 5 KB/s keeps the average over ten seconds
        /// below 5 KB/s even with a burst.
        double bytesPerSecond = 4600;
        double burstBytes = 4600;
        /// How far pings and acks may overdraw the bucket, so that a member whose budget is used
        /// up by digests is not declared dead.
        double overdraftBytes = 2300;
        /// Limits of the bucket for pulls over TCP, which are made after a start and after a
        /// partition.
        double pullBytesPerSecond = 65536;
        double pullBurstBytes = 2.0 * 1024 * 1024;
    };

    ControlBudget();
    explicit ControlBudget(const Options &options);

    /// Bytes that a message of this priority may take now. Each priority leaves a reserve to the
    /// higher ones.
    std::size_t available(ControlPriority priority, Base::MonoTime now);
    /// Takes \a bytes from the bucket; false, and nothing is taken, if fewer are available to
    /// this priority.
    bool take(ControlPriority priority, ControlTraffic traffic, std::size_t bytes,
              Base::MonoTime now);
    /// Like take(), from the separate bucket for pulls.
    bool takePull(std::size_t bytes, Base::MonoTime now);

    std::uint64_t spentBytes() const;
    std::uint64_t spentBytes(ControlTraffic traffic) const
    {
        return m_spent.at(static_cast<std::size_t>(traffic));
    }
    std::uint64_t refusals() const { return m_refusals; }

    /// Called each time that bytes are taken from either bucket; for metrics.
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
