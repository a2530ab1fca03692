#pragma once

#include "experiment/records.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Experiment {

/// Guarantees of the system whose breaches a run counts.
enum class Guarantee : std::uint8_t {
    CrossedAnswers, ///< A caller got the answer to another request.
    CutAnswers, ///< An answer that ended as complete lacks tokens.
    RefusedButRan, ///< A request reported as not run was run by an endpoint.
    RanTwice, ///< A call that is not idempotent ran more than once.
    LostAccepted, ///< A request answered as complete was not completed by any endpoint.
    SentToLeaving, ///< A leaving endpoint still got requests after its grace period.
    ConfigReverted ///< A router went back to an older revision of the configuration.
};
inline constexpr std::size_t guaranteeCount = 7;

/// Key of \a guarantee in the report.
std::string_view toString(Guarantee guarantee);

/// One breach of a guarantee, with details for its investigation.
struct Finding
{
    Guarantee guarantee = Guarantee::CrossedAnswers;
    std::string requestId;
    std::string detail;
};

/// Result of the comparison. A count without evidence to derive it from stays empty.
struct Reconciliation
{
    std::array<std::optional<std::int64_t>, guaranteeCount> breachCounts;
    std::vector<Finding> findings;
    std::int64_t unreconciled = 0; ///< Complete answers that an incomplete ledger cannot confirm.

    std::optional<std::int64_t> breachCount(Guarantee guarantee) const
    {
        return breachCounts.at(static_cast<std::size_t>(guarantee));
    }
};

/// Time in milliseconds after the acceptance of a drain during which the leaving endpoint may still
/// get work.
inline constexpr std::int64_t drainGraceMs = 3000;

/// Compares the results that callers saw with the outcomes that routers report and with the ledgers
/// of the endpoints.
Reconciliation reconcile(const Evidence &evidence);

/// How often a turn of a chat found the prompt of the turn before it in the engine's prefix cache.
struct CacheReuse
{
    std::int64_t returning = 0; ///< Requests of chats with an earlier complete answer.
    std::int64_t landedOnCached = 0; ///< Returning requests whose previous prompt was cached.
    std::int64_t cachedTokens = 0; ///< Sum over all returning requests.
    std::int64_t previousTokens = 0; ///< Prompt tokens of the previous turns, summed as well.
    bool isMeasured = false;
};

/// Measures cache reuse. A request is returning if an earlier turn of its chat got a complete
/// answer. It landed on a cached prefix if the engine's cached tokens cover the prompt of that
/// turn, rounded down to full cache blocks of \a blockTokens.
CacheReuse measureCacheReuse(const Evidence &evidence, std::int64_t blockTokens);

} // namespace Lagoonbank::Experiment
