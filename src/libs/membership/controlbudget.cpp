#include "membership/controlbudget.h"

#include <algorithm>
#include <numeric>

namespace Lagoonbank::Membership {

namespace {

/// Fraction of the burst that each priority leaves to the higher ones.
constexpr std::array<double, 5> reserves{0.0, 0.0, 0.05, 0.3, 0.45};

} // namespace

std::string_view toString(ControlTraffic traffic)
{
    static constexpr std::array<std::string_view, controlTrafficCount> names{
        "ping", "ack", "ping_request", "gossip", "outdated", "pull", "probe", "beacon"};
    return names.at(static_cast<std::size_t>(traffic));
}

void ControlBudget::Bucket::refill(double rate, double burst, Base::MonoTime now)
{
    if (now <= filledAt)
        return;
    tokens = std::min(burst, tokens + rate * Base::toSeconds(now - filledAt));
    filledAt = now;
}

ControlBudget::ControlBudget()
    : ControlBudget(Options())
{ }

ControlBudget::ControlBudget(const Options &options)
    : m_options(options)
    , m_bucket{.tokens = options.burstBytes}
    , m_pulls{.tokens = options.pullBurstBytes}
{ }

std::size_t ControlBudget::available(ControlPriority priority, Base::MonoTime now)
{
    m_bucket.refill(m_options.bytesPerSecond, m_options.burstBytes, now);
    const double reserve = reserves.at(static_cast<std::size_t>(priority)) * m_options.burstBytes;
    const double overdraft =
        priority == ControlPriority::Essential ? m_options.overdraftBytes : 0.0;
    const double free = m_bucket.tokens - reserve + overdraft;
    return free > 0 ? static_cast<std::size_t>(free) : 0;
}

bool ControlBudget::take(ControlPriority priority, ControlTraffic traffic, std::size_t bytes,
                         Base::MonoTime now)
{
    if (available(priority, now) < bytes) {
        ++m_refusals;
        return false;
    }
    m_bucket.tokens -= static_cast<double>(bytes);
    record(traffic, bytes);
    return true;
}

bool ControlBudget::takePull(std::size_t bytes, Base::MonoTime now)
{
    m_pulls.refill(m_options.pullBytesPerSecond, m_options.pullBurstBytes, now);
    if (m_pulls.tokens < static_cast<double>(bytes)) {
        ++m_refusals;
        return false;
    }
    m_pulls.tokens -= static_cast<double>(bytes);
    record(ControlTraffic::Pull, bytes);
    return true;
}

std::uint64_t ControlBudget::spentBytes() const
{
    return std::accumulate(m_spent.begin(), m_spent.end(), std::uint64_t{0});
}

void ControlBudget::record(ControlTraffic traffic, std::size_t bytes)
{
    m_spent.at(static_cast<std::size_t>(traffic)) += bytes;
    if (spent)
        spent(traffic, bytes);
}

} // namespace Lagoonbank::Membership
