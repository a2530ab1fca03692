#pragma once

#include "base/units.h"
#include "errors/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Standins::Platform {

/// What a test can order to go wrong.
enum class FaultKind : std::uint8_t {
    LogOutage, ///< Appends and reads answer 503; nothing is appended.
    AppendOutage, ///< Appends answer 503; reads go on.
    LogSlow, ///< Appends and reads are carried out and answered `ms` later.
    LateAppendAnswers, ///< Appends are carried out at once and answered `ms` later.
    LoseAppendAnswers, ///< Appends are carried out, then the connection breaks.
    LoseAppends, ///< The connection breaks and nothing is appended.
    AppendsLimited, ///< Appends answer 429.
    Silent, ///< Any request: no answer, and the connection stays open.
    VmsOutage, ///< The VM list answers 503.
    WeightsOutage ///< The weight store answers 503.
};

struct Fault
{
    FaultKind kind = FaultKind::LogOutage;
    std::optional<std::uint64_t> count; ///< How many requests it hits yet; all if not set.
    Base::Duration delay{};
    std::string stream; ///< Only this stream of the log; all if empty.
    std::string from; ///< Only callers of this VM, data centre or address; all if empty.
};

/// Who calls and for what, as far as faults care.
struct Caller
{
    std::string vm;
    std::string dataCentre;
    std::string ip;
    std::string stream; ///< Empty unless the request is for the log.
};

/// The faults in force.
class FaultList
{
public:
    /// Carries out the body of `POST /faults`.
    Errors::Result<void> order(std::string_view json);
    /// The first fault of that kind that hits \a caller; uses up one of its count.
    std::optional<Fault> hit(FaultKind kind, const Caller &caller);

private:
    std::vector<Fault> m_faults;
};

} // namespace Lagoonbank::Standins::Platform
