#pragma once

#include "base/units.h"
#include "schema/generated/fleetsync.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <cstddef>
#include <cstdint>

namespace Lagoonbank::Gateway {

/// The first parts of a prompt, which requests share.
struct PromptPrefix
{
    std::uint64_t hash = 0; ///< Of the model and these parts.
    Base::Tokens tokens; ///< Of all of them.
};

/// That an endpoint holds a prompt in its cache, or is reading it, as routers tell each other.
struct PromptHolding
{
    PromptPrefix prompt;
    std::uint64_t endpoint = 0; ///< EndpointRecord::startHash.
    Base::Tokens memory; ///< Of the endpoint; 0 if it is not known.
    Base::Duration remainingReadTime{}; ///< What is left of its reading the prompt.
    bool isNew = true; ///< Not known to be held there before; else in use again.
};

/// The form in which routers tell each other.
Schema::SharedPrompt toShared(const PromptHolding &holding);
PromptHolding fromShared(const Schema::SharedPrompt &shared);

/// Which endpoints hold which prompts, by where requests of this router and of its peers went. An
/// endpoint forgets what has not been used for longest when its memory is taken; so does this.
///
/// Pure: time is an argument.
class PromptDirectory
{
public:
    struct Options
    {
        /// Prompts that nobody uses for so long make room for others on endpoints; sessions return
        /// within some seconds or seldom.
        Base::Duration lifetime = std::chrono::seconds(25);
        /// Part of an endpoint's memory that prompts may take; the rest is for what runs. With 24
        /// to 128 places, requests of 1,700 tokens of their own take 0.13 to 0.22 of it.
        double memoryShare = 0.75;
        /// Prompts that are remembered, at some 80 bytes each.
        std::size_t maximumPrompts = 8192;
        /// Between two looks for what is to be forgotten.
        Base::Duration sweepInterval = std::chrono::milliseconds(500);
        /// A holding in use is told again after this time, by whoever uses it first then.
        Base::Duration announceInterval = std::chrono::seconds(10);
    };
    struct Holder
    {
        std::uint64_t endpoint = 0;
        std::uint32_t tokens = 0;
        Base::MonoTime usedAt;
        Base::MonoTime readUntil; ///< It is read by then.
        Base::MonoTime announcedAt; ///< To peers, or by one.
    };
    /// Most prompts are held by one or two endpoints.
    using Holders = absl::InlinedVector<Holder, 2>;

    explicit PromptDirectory(Options options)
        : m_options(options)
    { }

    enum class Announcement : std::uint8_t { None, InUse, New };
    /// A request with the prompt has gone to the endpoint. Says what peers ought to be told.
    Announcement recordUse(const PromptHolding &holding, Base::MonoTime now);
    /// A peer has told of it.
    void mergeHolding(const PromptHolding &holding, Base::MonoTime now);
    /// The endpoint has read the prompt.
    void read(std::uint64_t prompt, std::uint64_t endpoint, Base::MonoTime now);
    /// It turned out that the endpoint does not hold it.
    void drop(std::uint64_t prompt, std::uint64_t endpoint);

    const Holders &holders(std::uint64_t prompt) const;
    /// Null if the endpoint does not hold the prompt.
    const Holder *find(std::uint64_t prompt, std::uint64_t endpoint) const;
    /// Whether an endpoint has memory for one more prompt of \a tokens; true if its memory is not
    /// known.
    bool hasMemory(std::uint64_t endpoint, Base::Tokens tokens, Base::Tokens memory) const;
    std::size_t size() const { return m_prompts.size(); }

private:
    struct MemoryUse
    {
        std::int64_t tokens = 0; ///< Of all prompts that it holds.
        std::int64_t memory = 0; ///< 0 if it is not known.
    };

    Holder &holder(const PromptHolding &holding, Base::MonoTime now);
    void sweep(Base::MonoTime now);
    void forgetUnused(Base::MonoTime usedBefore);
    void forgetOverflow(std::uint64_t endpoint, const MemoryUse &ledger);

    Options m_options;
    absl::flat_hash_map<std::uint64_t, Holders> m_prompts;
    absl::flat_hash_map<std::uint64_t, MemoryUse> m_memoryUses; ///< By endpoint.
    Base::MonoTime m_sweptAt;
};

} // namespace Lagoonbank::Gateway
