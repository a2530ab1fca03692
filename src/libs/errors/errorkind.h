#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Lagoonbank::Errors {

/// All kinds of errors. errorTable() defines the answer that callers get for each.
enum class ErrorKind : std::uint8_t {
    BadRequest,
    BodyTooLarge,
    HeadTooLarge,
    SlowSender,
    OutOfMemory,
    MissingKey,
    UnknownKey,
    UnknownModel,
    UnknownService,
    NotFound,
    MethodNotAllowed,
    RateLimited,
    TokenRateLimited,
    ConcurrencyLimited,
    PriorityNotAllowed,
    ServiceNotAllowed,
    Overloaded,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    NoEndpoint,
    RetryBudgetSpent,
    EndpointRefused,
    EndpointUnreachable,
    EndpointTimeout,
    EndpointBroke,
    AnswerMismatch,
    RequestCrashes,
    DuplicateRunning,
    DuplicateUnknown,
    ClaimUnavailable,
    NotReady,
    Draining,
    CallerLeft,
    LogUnavailable,
    LogOutcomeUnknown,
    StaleBase,
    BadSettings,
    BadContract,
    BadMessage,
    WrongPeerKey,
    WrongVersion,
    NotLeaseHolder,
    OrderRefused,
    Internal
};

/// Whether the request ran on an endpoint.
enum class Ran : std::uint8_t { No, Yes, Unknown };

/// The answer that callers get for one kind of error.
struct ErrorRow
{
    ErrorKind kind;
    std::string_view name; ///< `error.kind` of the answer, in snake case.
    int httpStatus;
    Ran ran; ///< Default for errors that do not set Error::ran.
    bool retryable; ///< Whether the same request may be sent again unchanged.
    std::string_view text; ///< Message for the caller, one sentence.
};

/// All rows, in the order of ErrorKind.
std::span<const ErrorRow> errorTable();
const ErrorRow &errorRow(ErrorKind kind);
std::optional<ErrorKind> errorKindFromName(std::string_view name);
std::string_view toString(ErrorKind kind);
std::string_view toString(Ran ran);

} // namespace Lagoonbank::Errors
