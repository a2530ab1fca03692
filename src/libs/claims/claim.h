#pragma once

#include "base/ids.h"
#include "errors/errorkind.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace Lagoonbank::Claims {

/// Names one matter of one workspace, however often it is called.
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

/// Hash of what was called, so that another call under the same key is found out.
using CallHash = Base::StrongNumber<struct CallHashTag, std::uint64_t>;

CallHash hashCall(std::string_view method, std::string_view target, std::string_view body);

/// One start of a router.
struct RouterInstance
{
    Base::VmId vm;
    Base::Incarnation incarnation;

    bool operator==(const RouterInstance &) const = default;
};

/// Says that one request wants to run the matter; the first on the log may.
struct Claim
{
    ClaimKey key;
    Base::RequestId request;
    RouterInstance router;
    CallHash call;
};

/// What became of the request that held the claim.
struct Outcome
{
    Errors::Ran ran = Errors::Ran::Unknown;
    int status = 0;
    std::string contentType;
    std::string body;
    bool isBodyKept = true; ///< False where the body was too large to be kept.
};

/// Record of an outcome; repeats the claim so that it stands for itself where the claim is gone.
struct ClaimOutcome
{
    Claim claim;
    Outcome outcome;
};

} // namespace Lagoonbank::Claims
