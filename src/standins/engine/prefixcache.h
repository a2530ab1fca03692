#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "standins/engine/blockhashchain.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <list>
#include <optional>
#include <span>
#include <vector>

namespace Lagoonbank::Standins {

/// LRU cache of prompt prefixes in blocks of tokens. Within a prefix, the blocks at its end are
/// evicted first. A block is owned by the chat that used it last.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t maxBlocks)
        : m_maxBlocks(maxBlocks)
    { }

    /// Called after an eviction with the tokens of the chat's prefix that are still cached.
    std::function<void(const Base::ChatId &chat, Base::Tokens remaining)> evicted;
    /// Called with the cached tokens of the chat's prefix when their number has grown.
    std::function<void(const Base::ChatId &chat, Base::Tokens cached)> stored;

    /// Number of cached tokens at the start of \a chain.
    Base::Tokens cachedTokens(std::span<const BlockHash> chain) const;
    /// Caches the blocks of \a chain for \a chat and marks them as most recently used.
    void store(const Base::ChatId &chat, std::span<const BlockHash> chain);
    /// The cached blocks of the chat's prefix; empty if there are none.
    std::optional<std::vector<BlockHash>> chainOf(const Base::ChatId &chat) const;
    std::size_t blockCount() const { return m_blocksByHash.size(); }

private:
    struct Block
    {
        BlockHash hash = 0;
        Base::ChatId owner;
    };
    struct Chat
    {
        std::vector<BlockHash> chain;
        std::size_t ownedBlocks = 0;
    };
    using Blocks = std::list<Block>;

    std::size_t cachedBlocks(std::span<const BlockHash> chain) const;
    void touch(const Base::ChatId &chat, BlockHash hash);
    void releaseBlock(const Base::ChatId &chat);
    void evict();

    std::size_t m_maxBlocks;
    Blocks m_lruBlocks; ///< Most recently used first.
    absl::flat_hash_map<BlockHash, Blocks::iterator> m_blocksByHash;
    absl::flat_hash_map<Base::ChatId, Chat> m_chats;
};

} // namespace Lagoonbank::Standins
