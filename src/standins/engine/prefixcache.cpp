#include "standins/engine/prefixcache.h"

#include <algorithm>
#include <set>

namespace Lagoonbank::Standins {

namespace {

Base::Tokens tokensOf(std::size_t blocks)
{
    return Base::Tokens(static_cast<std::int64_t>(blocks * tokensPerBlock));
}

} // namespace

std::size_t PrefixCache::cachedBlocks(std::span<const BlockHash> chain) const
{
    const auto isMissing = [this](BlockHash hash) { return !m_blocksByHash.contains(hash); };
    return static_cast<std::size_t>(std::ranges::find_if(chain, isMissing) - chain.begin());
}

Base::Tokens PrefixCache::cachedTokens(std::span<const BlockHash> chain) const
{
    return tokensOf(cachedBlocks(chain));
}

void PrefixCache::store(const Base::ChatId &chat, std::span<const BlockHash> chain)
{
    chain = chain.first(std::min(chain.size(), m_maxBlocks));
    const std::size_t cachedBefore = cachedBlocks(chain);
    // Touch the start of the prefix last so that its end is evicted first.
    for (std::size_t i = chain.size(); i > 0; --i)
        touch(chat, chain[i - 1]);
    if (!chain.empty())
        m_chats[chat].chain.assign(chain.begin(), chain.end());
    evict();
    if (chain.size() > cachedBefore && stored)
        stored(chat, cachedTokens(chain));
}

std::optional<std::vector<BlockHash>> PrefixCache::chainOf(const Base::ChatId &chat) const
{
    const auto found = m_chats.find(chat);
    if (found == m_chats.end())
        return std::nullopt;
    const std::vector<BlockHash> &chain = found->second.chain;
    const std::size_t count = cachedBlocks(chain);
    if (count == 0)
        return std::nullopt;
    return std::vector<BlockHash>(chain.begin(), chain.begin() + static_cast<long>(count));
}

void PrefixCache::touch(const Base::ChatId &chat, BlockHash hash)
{
    const auto found = m_blocksByHash.find(hash);
    if (found == m_blocksByHash.end()) {
        m_lruBlocks.push_front({hash, chat});
        m_blocksByHash.emplace(hash, m_lruBlocks.begin());
        ++m_chats[chat].ownedBlocks;
        return;
    }
    const Blocks::iterator block = found->second;
    m_lruBlocks.splice(m_lruBlocks.begin(), m_lruBlocks, block);
    if (block->owner == chat)
        return;
    releaseBlock(block->owner);
    block->owner = chat;
    ++m_chats[chat].ownedBlocks;
}

void PrefixCache::releaseBlock(const Base::ChatId &chat)
{
    const auto found = m_chats.find(chat);
    if (found != m_chats.end() && --found->second.ownedBlocks == 0)
        m_chats.erase(found);
}

void PrefixCache::evict()
{
    std::set<Base::ChatId> affectedChats;
    while (m_blocksByHash.size() > m_maxBlocks) {
        const Block block = m_lruBlocks.back();
        m_lruBlocks.pop_back();
        m_blocksByHash.erase(block.hash);
        affectedChats.insert(block.owner);
        releaseBlock(block.owner);
    }
    for (const Base::ChatId &chat : affectedChats) {
        const auto found = m_chats.find(chat);
        const bool isGone = found == m_chats.end();
        if (evicted)
            evicted(chat, isGone ? Base::Tokens() : cachedTokens(found->second.chain));
    }
}

} // namespace Lagoonbank::Standins
