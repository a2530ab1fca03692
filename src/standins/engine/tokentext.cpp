#include "standins/engine/tokentext.h"

#include "standins/support/hexhash.h"

namespace Lagoonbank::Standins {

namespace {

constexpr std::size_t shortHashDigits = 8;

} // namespace

std::string shortHash(const Base::RequestId &requestId)
{
    return hexHash(requestId.value(), shortHashDigits);
}

std::string tokenText(std::string_view requestHash, std::int64_t index)
{
    std::string text(requestHash);
    text += '-';
    text += std::to_string(index);
    text += ' ';
    return text;
}

} // namespace Lagoonbank::Standins
