#pragma once

#include "base/units.h"
#include "schema/generated/fleetsync.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <cstddef>
#include <cstdint>

namespace Lagoonbank::Gateway {

/// One or more leading parts of a prompt, which several requests may share.
struct PromptPrefix
{
    std::uint64_t hash = 0; ///< Hash of the model and these parts.
    Base::Tokens tokens; ///< Length of all these parts.
};

/// Announcement between routers that an endpoint has a prompt in its cache or is prefilling it.
struct PromptHolding
{
    PromptPrefix prompt;
    std::uint64_t endpoint = 0; ///< EndpointRecord::startHash.
    Base::Tokens memory; ///< Cache memory of the endpoint; 0 if unknown.
    Base::Duration remainingPrefillTime{}; ///< Estimated time until the prompt is prefilled.
    bool isNew = true; ///< Whether the endpoint was not known to hold the prompt before.
};

/// Conversion to and from the form that routers send to each other.
Schema::SharedPrompt toShared(const PromptHolding &holding);
PromptHolding fromShared(const Schema::SharedPrompt &shared);

/// Records which endpoints hold which prompts, from where this router and its peers sent requests.
/// Endpoints evict the least recently used prompts when their memory is full, and so does this
/// directory. A holder of a prompt is an endpoint that has it in its cache or is prefilling it.
///
/// Does no I/O and reads no clock.
class PromptDirectory
{
public:
    struct Options
    {
        /// Time without use after which a prompt is assumed to be evicted from endpoints. Most
        /// sessions that are continued send their next request within a few seconds.
        Base::Duration lifetime = std::chrono::seconds(25);
        /// Fraction of an endpoint's memory available to shared prompts; the rest is for running
        /// requests. With 24 to 128 slots, requests with 1,700 tokens of their own take 0.13 to
        /// 0.22 of the memory.
        double memoryShare = 0.75;
        /// Maximum number of recorded prompts, at about 80 bytes each.
        std::size_t maximumPrompts = 8192;
        /// Minimum interval between two sweeps for prompts to remove.
        Base::Duration sweepInterval = std::chrono::milliseconds(500);
        /// Interval at which a prompt in use is announced to peers again, by the first router that
        /// sends a request with it after this time.
        Base::Duration announceInterval = std::chrono::seconds(10);
    };
    struct Holder
    {
        std::uint64_t endpoint = 0; ///< EndpointRecord::startHash.
        std::uint32_t tokens = 0; ///< Length of the prompt.
        Base::MonoTime usedAt; ///< When a request with the prompt was last sent there.
        Base::MonoTime prefillEndsAt; ///< Estimated end of the prefill.
        Base::MonoTime announcedAt; ///< Last announcement by this router or a peer.
    };
    /// Most prompts are held by one or two endpoints.
    using Holders = absl::InlinedVector<Holder, 2>;

    explicit PromptDirectory(Options options)
        : m_options(options)
    { }

    enum class Announcement : std::uint8_t { None, InUse, New };
    /// Records that a request with the prompt was sent to the endpoint. Returns what to announce to
    /// peers.
    Announcement recordUse(const PromptHolding &holding, Base::MonoTime now);
    /// Merges a holding that a peer announced.
    void mergeHolding(const PromptHolding &holding, Base::MonoTime now);
    /// Records that the endpoint has completed the prefill of the prompt.
    void recordPrefillEnd(std::uint64_t prompt, std::uint64_t endpoint, Base::MonoTime now);
    /// Removes a holding after the endpoint turned out not to have the prompt.
    void drop(std::uint64_t prompt, std::uint64_t endpoint);

    const Holders &holders(std::uint64_t prompt) const;
    /// Finds a holder of the prompt; null if the endpoint does not hold it.
    const Holder *find(std::uint64_t prompt, std::uint64_t endpoint) const;
    /// Whether an endpoint has memory for one more prompt of \a tokens; true if its memory is not
    /// known.
    bool hasMemory(std::uint64_t endpoint, Base::Tokens tokens, Base::Tokens memory) const;
    /// Total length of the prompts that the endpoint holds.
    Base::Tokens heldTokens(std::uint64_t endpoint) const;
    std::size_t size() const { return m_prompts.size(); }

private:
    struct MemoryUse
    {
        std::int64_t tokens = 0; ///< Total length of the prompts that the endpoint holds.
        std::int64_t memory = 0; ///< Cache memory of the endpoint; 0 if unknown.
    };

    Holder &holder(const PromptHolding &holding, Base::MonoTime now);
    void sweep(Base::MonoTime now);
    void removeUnused(Base::MonoTime usedBefore);
    void evictOverflow(std::uint64_t endpoint, const MemoryUse &use);

    Options m_options;
    absl::flat_hash_map<std::uint64_t, Holders> m_prompts;
    absl::flat_hash_map<std::uint64_t, MemoryUse> m_memoryUses; ///< Keyed by endpoint.
    Base::MonoTime m_sweptAt; ///< Time of the last sweep.
};

} // namespace Lagoonbank::Gateway
