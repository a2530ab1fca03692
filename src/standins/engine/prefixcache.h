#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "standins/engine/blockchain.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <list>
#include <optional>
#include <span>
#include <vector>

namespace Lagoonbank::Standins {

/// Cached prefixes as blocks of tokens; the blocks used longest ago go first, a prefix from its
/// end. A block belongs to the chat that used it last.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t maxBlocks)
        : m_maxBlocks(maxBlocks)
    { }

    /// Called with the tokens of the chat's prefix that are left.
    std::function<void(const Base::ChatId &chat, Base::Tokens left)> evicted;
    /// Called with the tokens of the chat's prefix that are cached, if they grew.
    std::function<void(const Base::ChatId &chat, Base::Tokens cached)> stored;

    /// Tokens at the start of \a chain that are cached.
    Base::Tokens cachedTokens(std::span<const BlockHash> chain) const;
    /// Caches all blocks of \a chain for \a chat and makes them the last used.
    void store(const Base::ChatId &chat, std::span<const BlockHash> chain);
    /// The cached blocks of the chat's prefix; nothing for a chat that has none.
    std::optional<std::vector<BlockHash>> chainOf(const Base::ChatId &chat) const;
    std::size_t blockCount() const { return m_blocks.size(); }

private:
    struct Block
    {
        BlockHash hash = 0;
        Base::ChatId owner;
    };
    struct Chat
    {
        std::vector<BlockHash> chain;
        std::size_t owned = 0;
    };
    using Blocks = std::list<Block>;

    std::size_t cachedBlocks(std::span<const BlockHash> chain) const;
    void touch(const Base::ChatId &chat, BlockHash hash);
    void disown(const Base::ChatId &chat);
    void evict();

    std::size_t m_maxBlocks;
    Blocks m_order; ///< Last used first.
    absl::flat_hash_map<BlockHash, Blocks::iterator> m_blocks;
    absl::flat_hash_map<Base::ChatId, Chat> m_chats;
};

} // namespace Lagoonbank::Standins
