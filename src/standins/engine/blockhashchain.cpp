#include "standins/engine/blockhashchain.h"

#include <xxhash.h>

namespace Lagoonbank::Standins {

namespace {

constexpr std::string_view whiteSpace = " \t\r\n\v\f";

} // namespace

void BlockHashChain::appendText(std::string_view text)
{
    std::size_t begin = text.find_first_not_of(whiteSpace);
    while (begin != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(whiteSpace, begin), text.size());
        appendToken(text.substr(begin, end - begin));
        begin = text.find_first_not_of(whiteSpace, end);
    }
}

void BlockHashChain::appendToken(std::string_view token)
{
    m_tokenHash = XXH3_64bits_withSeed(token.data(), token.size(), m_tokenHash);
    if (++m_tokenCount % tokensPerBlock == 0)
        m_hashes.push_back(m_tokenHash);
}

} // namespace Lagoonbank::Standins
