#include "claims/claim.h"

#include <xxhash.h>

#include <initializer_list>

namespace Lagoonbank::Claims {

CallHash hashCall(std::string_view method, std::string_view target, std::string_view body)
{
    XXH64_hash_t hash = 0;
    for (const std::string_view part : {method, target, body})
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
    return CallHash(hash);
}

} // namespace Lagoonbank::Claims
