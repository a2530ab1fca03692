#include "timeline/requestid.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Timeline {

using Errors::ErrorKind;

namespace {

constexpr int base36 = 36;
constexpr char separator = '~';
constexpr std::size_t maxDigits = 13; // Of a 64-bit number in base 36.

std::string toBase36(std::uint64_t number)
{
    std::array<char, maxDigits> digits{};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), number, base36);
    return {digits.data(), result.ptr};
}

std::optional<std::uint64_t> fromBase36(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number, base36);
    if (text.empty() || result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

Base::RequestId makeRequestId(const RequestOrigin &origin)
{
    const std::string tilde(1, separator);
    return Base::RequestId(absl::StrCat(origin.dataCentre.value(), tilde, origin.vm.value(), tilde,
                                        toBase36(origin.incarnation.value()), tilde,
                                        toBase36(origin.sequence)));
}

Errors::Result<RequestOrigin> parseRequestId(std::string_view text)
{
    const std::vector<std::string> parts =
        absl::StrSplit(absl::string_view(text.data(), text.size()), separator);
    if (parts.size() == 4 && !parts[0].empty() && !parts[1].empty()) {
        const auto incarnation = fromBase36(parts[2]);
        const auto sequence = fromBase36(parts[3]);
        if (incarnation && sequence)
            return RequestOrigin{Base::DataCentreId(parts[0]), Base::VmId(parts[1]),
                                 Base::Incarnation(*incarnation), *sequence};
    }
    return Errors::makeError(ErrorKind::BadRequest,
                             "A request id is <data centre>~<VM>~<incarnation>~<sequence>.");
}

} // namespace Lagoonbank::Timeline
