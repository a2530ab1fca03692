#pragma once

#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Lagoonbank::Capacity {

/// KV cache tokens that a request takes at an endpoint while it runs.
struct RequestSize
{
    std::uint64_t prompt = 0; ///< Hash of the shared prompt.
    Base::Tokens shared; ///< Length of the shared prompt; 0 if nothing is shared.
    Base::Tokens own; ///< Last part of the prompt, and the maximum output.

    /// Tokens that the request takes at an endpoint without other requests.
    Base::Tokens total() const { return shared + own; }
    bool operator==(const RequestSize &) const = default;
};

/// Determines which requests fit into the KV cache of one endpoint. The sizes of the requests of
/// this router are known; those of other routers are estimated from their number. Cached prompts do
/// not count, as the endpoint evicts them for running requests.
class KvCacheBudget
{
public:
    struct Options
    {
        /// Share of the memory that is left free for errors of the estimate. Other routers may send
        /// requests to the endpoint at the same time.
        double safetyMargin = 0.05;
        /// Number of requests of other routers below which the endpoint counts as free of them. The
        /// estimate decays with time and does not reach zero.
        double negligibleRequests = 0.5;
    };

    KvCacheBudget() = default;
    explicit KvCacheBudget(const Options &options)
        : m_options(options)
    { }

    void requestSent(const RequestSize &size);
    /// A request has left the endpoint. \a size is the same as when it was sent.
    void requestEnded(const RequestSize &size);
    /// Estimated tokens of all running requests. There are \a othersRequests of other routers, of
    /// \a meanTokens each.
    double usedTokens(double othersRequests, double meanTokens) const;
    /// Whether the request fits into the \a memory of the endpoint less the safety margin. An
    /// endpoint without other requests takes one that needs all of its memory.
    bool admits(const RequestSize &size, Base::Tokens memory, double othersRequests,
                double meanTokens) const;
    /// Tokens by which the request would exceed the memory less the safety margin; negative if it
    /// fits.
    double excessTokens(const RequestSize &size, Base::Tokens memory, double othersRequests,
                        double meanTokens) const;
    /// Tokens that the request adds to those of the running requests.
    Base::Tokens addedTokens(const RequestSize &size) const;
    int requestCount() const { return m_requestCount; }
    /// Shared prompts of this router's running requests, each counted once.
    Base::Tokens sharedTokens() const { return m_shared; }

private:
    struct SharedPrompt
    {
        int requests = 0;
        Base::Tokens tokens; ///< Greatest length that a running request has declared.
    };

    Options m_options;
    Base::Tokens m_own;
    Base::Tokens m_shared;
    int m_requestCount = 0;
    absl::flat_hash_map<std::uint64_t, SharedPrompt> m_prompts;
};

} // namespace Lagoonbank::Capacity
