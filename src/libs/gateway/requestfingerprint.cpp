#include "gateway/requestfingerprint.h"

#include "routing/rendezvous.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <string_view>

namespace Lagoonbank::Gateway {

RequestFingerprint fingerprintOf(const CallerRequest &request, const Base::WorkspaceId &workspace)
{
    const std::array<std::string_view, 5> parts{workspace.value(), request.method, request.host,
                                                request.target, request.body};
    std::uint64_t hash = 0;
    for (const std::string_view part : parts)
        hash = Routing::mixHashes(hash, Routing::stableHash(part)) + 1;
    return RequestFingerprint(hash);
}

std::string toString(RequestFingerprint fingerprint)
{
    return absl::StrCat(absl::Hex(fingerprint.value(), absl::kZeroPad16));
}

} // namespace Lagoonbank::Gateway
