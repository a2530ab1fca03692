#include "standins/support/hexhash.h"

#include <xxhash.h>

#include <cstdint>

namespace Lagoonbank::Standins {

std::string hexHash(std::string_view text, std::size_t digits)
{
    constexpr std::string_view digitTable = "0123456789abcdef";
    constexpr unsigned bitsPerDigit = 4;
    std::uint64_t hash = XXH3_64bits(text.data(), text.size());
    std::string result;
    for (std::size_t i = 0; i < digits; ++i) {
        result.push_back(digitTable[hash >> (64 - bitsPerDigit)]);
        hash <<= bitsPerDigit;
    }
    return result;
}

} // namespace Lagoonbank::Standins
