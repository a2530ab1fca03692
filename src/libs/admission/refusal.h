#pragma once

#include "base/units.h"
#include "errors/result.h"

#include <string>

namespace Lagoonbank::Admission {

/// Reason why a call was not admitted. A refused call did not run.
struct Refusal
{
    Errors::ErrorKind kind = Errors::ErrorKind::Internal;
    std::string limit; ///< Key of the limit in the contract, such as `requests_per_second`.
    std::string source; ///< Line of the contract as `file:line`; empty if none applies.
    /// Time after which the call would be admitted if no other call arrived; zero if it never
    /// would.
    Base::Duration retryAfter{};
};

/// The refusal as one sentence, for the answer to the caller and the log.
std::string describe(const Refusal &refusal);
/// The refusal as an error with the same kind and text; `ran` is always No.
Errors::Error toError(const Refusal &refusal);

} // namespace Lagoonbank::Admission
