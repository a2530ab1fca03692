#pragma once

#include "gateway/gatewaymetrics.h"
#include "http/memorybudget.h"
#include "logging/decisionlog.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace Lagoonbank::Gateway {

/// Exports as metrics what clients occupy of the process's memory, and logs when they are refused
/// or disconnected for it.
class ClientMemoryReport
{
public:
    struct Options
    {
        std::shared_ptr<Http::MemoryBudget> memory;
        GatewayMetrics *metrics = nullptr;
        Logging::DecisionLog *log = nullptr;
    };

    explicit ClientMemoryReport(Options options);
    ~ClientMemoryReport();
    ClientMemoryReport(const ClientMemoryReport &) = delete;
    ClientMemoryReport &operator=(const ClientMemoryReport &) = delete;

    /// Updates the metrics and logs at most one line for each kind of memory. Call it once a
    /// second.
    void update();

private:
    struct Counts
    {
        std::uint64_t refused = 0;
        std::uint64_t reclaimed = 0;
    };

    Options m_options;
    std::array<Counts, Http::memoryKindCount> m_counts{}; ///< Since the last update.
};

} // namespace Lagoonbank::Gateway
