#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Lagoonbank::Standins {

/// Hash of a block of tokens and all blocks before it.
using BlockHash = std::uint64_t;

constexpr std::size_t tokensPerBlock = 16;

/// Chained hashes of the complete blocks of a text that can be extended. Tokens are separated by
/// white space.
class BlockHashChain
{
public:
    BlockHashChain() = default;
    explicit BlockHashChain(std::string_view text) { appendText(text); }

    void appendText(std::string_view text);
    void appendToken(std::string_view token);

    const std::vector<BlockHash> &hashes() const { return m_hashes; }
    std::size_t tokenCount() const { return m_tokenCount; }

private:
    std::vector<BlockHash> m_hashes;
    BlockHash m_tokenHash = 0; ///< Hash of all tokens so far.
    std::size_t m_tokenCount = 0;
};

} // namespace Lagoonbank::Standins
