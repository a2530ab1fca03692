#pragma once

#include "base/ids.h"
#include "errors/errorkind.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Lagoonbank::Claims {

/// Identifies one operation of one workspace; all calls of the operation share the key.
struct ClaimKey
{
    Base::WorkspaceId workspace;
    Base::IdempotencyKey key;

    bool operator==(const ClaimKey &) const = default;

    template<typename H>
    friend H AbslHashValue(H h, const ClaimKey &claim) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(h), claim.workspace, claim.key);
    }
};

/// Hash of the call's content, which detects a different call under the same key.
using CallHash = Base::StrongNumber<struct CallHashTag, std::uint64_t>;

CallHash hashCall(std::string_view method, std::string_view target, std::string_view body);

/// One process run of a router; a restart is another instance.
struct RouterInstance
{
    Base::VmId vm;
    Base::Incarnation incarnation;

    bool operator==(const RouterInstance &) const = default;
};

/// Request for the right to run an operation; the first claim of a key on the log holds it.
struct Claim
{
    ClaimKey key;
    Base::RequestId request;
    RouterInstance router;
    CallHash call;
};

/// Result of the request that held the claim.
struct Outcome
{
    Errors::Ran ran = Errors::Ran::Unknown;
    int status = 0;
    std::string contentType;
    std::string body;
    bool isBodyKept = true; ///< False if the body was too large to be stored.
};

/// Record of an outcome. Includes the claim, so that it can be applied without the claim's record.
struct ClaimOutcome
{
    Claim claim;
    Outcome outcome;
};

} // namespace Lagoonbank::Claims
