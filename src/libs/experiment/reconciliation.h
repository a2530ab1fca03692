#pragma once

#include "experiment/records.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Experiment {

/// The promises whose breach is counted.
enum class Promise : std::uint8_t {
    CrossedAnswers,
    CutAnswers,
    RefusedButRan,
    RanTwice,
    LostAccepted,
    SentToLeaving,
    ConfigReverted
};
inline constexpr std::size_t promiseCount = 7;

/// Key of the report.
std::string_view toString(Promise promise);

/// One breach, for whoever looks into it.
struct Finding
{
    Promise promise = Promise::CrossedAnswers;
    std::string requestId;
    std::string detail;
};

/// Result of the comparison; a count without its evidence stays empty.
struct Reconciliation
{
    std::array<std::optional<std::int64_t>, promiseCount> counts;
    std::vector<Finding> findings;
    std::int64_t unreconciled = 0; ///< Whole answers whose endpoint's ledger is not whole.

    std::optional<std::int64_t> count(Promise promise) const
    {
        return counts.at(static_cast<std::size_t>(promise));
    }
};

/// Time that a leaving endpoint may still get work after its drain was accepted, in milliseconds.
inline constexpr std::int64_t drainGraceMs = 3000;

/// Compares what callers saw, what routers say and what endpoints ran.
Reconciliation reconcile(const Evidence &evidence);

/// How often a returning chat found its prefix cached.
struct CacheReuse
{
    std::int64_t returning = 0;
    std::int64_t landedOnCached = 0;
    std::int64_t cachedTokens = 0; ///< Over all returning requests.
    std::int64_t previousTokens = 0; ///< Prompt tokens of the turns before.
    bool isMeasured = false;
};

/// A request returns if an earlier turn of its chat got a whole answer; it landed on cached if
/// the engine's cached tokens cover that turn's prompt down to whole blocks of the cache.
CacheReuse measureCacheReuse(const Evidence &evidence, std::int64_t blockTokens);

} // namespace Lagoonbank::Experiment
