#pragma once

#include "base/units.h"
#include "errors/result.h"

#include <string>

namespace Lagoonbank::Admission {

/// Why a call was not admitted. A refused call did not run.
struct Refusal
{
    Errors::ErrorKind kind = Errors::ErrorKind::Internal;
    std::string limit; ///< Name of the limit as the contract has it, such as `requests_per_second`.
    std::string source; ///< Line of the contract, `file:line`; empty where none applies.
    /// Time after which the same call would pass if nothing else came; zero if it never would.
    Base::Duration retryAfter{};
};

/// One sentence for the caller's answer and the log.
std::string describe(const Refusal &refusal);
/// The same as an error of the closed list; always `ran: no`.
Errors::Error toError(const Refusal &refusal);

} // namespace Lagoonbank::Admission
