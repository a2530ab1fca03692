#pragma once

#include "claims/claim.h"
#include "errors/result.h"
#include "platformclient/record.h"

#include <string_view>
#include <variant>

/// Records of the log stream `claims`.
namespace Lagoonbank::Claims {

inline constexpr std::string_view claimsStream = "claims";
/// Maximum size of a body that is stored with its outcome; a larger one is left out.
inline constexpr std::size_t maxKeptBodyBytes = 16 * 1024;

PlatformClient::Record toRecord(const Claim &claim);
PlatformClient::Record toRecord(const ClaimOutcome &claimOutcome);
/// Returns an error for a malformed record or one of a newer version; readers skip such records.
Errors::Result<std::variant<Claim, ClaimOutcome>> parseRecord(std::string_view data);

} // namespace Lagoonbank::Claims
