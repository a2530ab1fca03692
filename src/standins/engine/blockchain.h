#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Lagoonbank::Standins {

/// Hash of one block of tokens and of all blocks before it.
using BlockHash = std::uint64_t;

constexpr std::size_t tokensPerBlock = 16;

/// The chained hashes of a growing text's whole blocks. A token is a run of characters between
/// white space.
class BlockChain
{
public:
    BlockChain() = default;
    explicit BlockChain(std::string_view text) { appendText(text); }

    void appendText(std::string_view text);
    void appendToken(std::string_view token);

    const std::vector<BlockHash> &hashes() const { return m_hashes; }
    std::size_t tokenCount() const { return m_tokenCount; }

private:
    std::vector<BlockHash> m_hashes;
    BlockHash m_running = 0;
    std::size_t m_tokenCount = 0;
};

} // namespace Lagoonbank::Standins
