#pragma once

#include "base/ids.h"
#include "base/strongtype.h"
#include "gateway/callerrequest.h"

#include <cstdint>
#include <string>

namespace Lagoonbank::Gateway {

/// Hash of workspace, method, host, target and body of a request. It is the same for each attempt
/// of the caller and at every router.
using RequestFingerprint = Base::StrongNumber<struct RequestFingerprintTag, std::uint64_t>;

RequestFingerprint fingerprintOf(const CallerRequest &request, const Base::WorkspaceId &workspace);
/// Formats a fingerprint as 16 hexadecimal digits.
std::string toString(RequestFingerprint fingerprint);

} // namespace Lagoonbank::Gateway
