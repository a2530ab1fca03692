#pragma once

#include "base/units.h"
#include "errors/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Standins::Platform {

/// Kinds of faults that can be injected into the platform stand-in.
enum class FaultKind : std::uint8_t {
    LogOutage, ///< Answers appends and reads with 503; nothing is appended.
    AppendOutage, ///< Answers appends with 503; reads work.
    LogSlow, ///< Delays appends and reads by `ms` before they are carried out.
    LateAppendAnswers, ///< Carries out appends at once, but answers `ms` later.
    LoseAppendAnswers, ///< Carries out appends, then breaks the connection.
    LoseAppends, ///< Breaks the connection of appends; nothing is appended.
    AppendsLimited, ///< Answers appends with 429.
    Silent, ///< Never answers any request; the connection stays open.
    VmsOutage, ///< Answers requests for the VM list with 503.
    WeightsOutage ///< Answers requests to the weight store with 503.
};

struct Fault
{
    FaultKind kind = FaultKind::LogOutage;
    std::optional<std::uint64_t> count; ///< Remaining requests to affect; unlimited if empty.
    Base::Duration delay{};
    std::string stream; ///< The only stream of the log to affect; all requests if empty.
    std::string from; ///< The only VM, data centre or IP address to affect; all callers if empty.
};

/// Properties of a request that a fault can be limited to.
struct Caller
{
    std::string vm;
    std::string dataCentre;
    std::string ip;
    std::string stream; ///< Stream of the log; empty for other requests.
};

/// Active faults of the platform stand-in.
class FaultList
{
public:
    /// Applies the body of `POST /faults`, which adds a fault or, with "none", clears all faults.
    Errors::Result<void> inject(std::string_view body);
    /// The first active fault of \a kind that affects \a caller; decrements its count.
    std::optional<Fault> match(FaultKind kind, const Caller &caller);

private:
    std::vector<Fault> m_faults;
};

} // namespace Lagoonbank::Standins::Platform
