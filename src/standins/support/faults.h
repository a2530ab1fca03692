#pragma once

#include "base/units.h"
#include "errors/result.h"
#include "runtime/clock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Lagoonbank::Standins {

/// What a stand-in can be told to do wrong. The names on the wire are in faultTable().
enum class FaultKind : std::uint8_t {
    Slow, ///< All work takes `factor` times as long.
    CrashBefore, ///< The connection breaks before any byte; the request does not run.
    CrashAfterRequest, ///< The request runs whole; the connection breaks without a byte.
    CrashMidStream, ///< The connection breaks after `after_tokens`, and the run with it.
    CrashAfterAnswer, ///< The connection breaks after the whole answer.
    Silent, ///< Never answers; with `after_tokens` runs and goes silent after them.
    Late, ///< The answer waits for `delay_ms`; the run does not.
    Crossed, ///< Answers with the content of another request and, without `keep_id`, its id.
    Cut, ///< Ends the stream as if whole after `after_tokens`, without its last event.
    RanButRefused, ///< Runs the request and says that it did not.
    RunTwice, ///< Runs the request twice.
    Refuse, ///< Refuses; the request does not run.
    Flap, ///< Breaks every connection for `period_ms`, then works as long, and so on.
    AcceptWhileDraining ///< Takes new work while draining.
};

/// One fault as ordered.
struct Fault
{
    FaultKind kind = FaultKind::Slow;
    std::optional<std::int64_t> count; ///< Requests still to be hit; all if empty.
    double factor = 1;
    std::optional<std::int64_t> afterTokens;
    Base::Duration delay{};
    Base::Duration period{};
    bool keep = false; ///< A broken connection leaves its run alive, so that it can be resumed.
    bool keepId = false;
    Base::MonoTime since;
};

/// The faults that hit one request.
class RequestFaults
{
public:
    RequestFaults() = default;
    explicit RequestFaults(std::vector<Fault> faults)
        : m_faults(std::move(faults))
    { }

    const Fault *find(FaultKind kind) const;
    bool has(FaultKind kind) const { return find(kind) != nullptr; }

private:
    std::vector<Fault> m_faults;
};

/// The faults ordered of one stand-in; several kinds may be active at once.
class FaultSet
{
public:
    explicit FaultSet(const Runtime::Clock &clock)
        : m_clock(clock)
    { }

    /// Reads the body of POST /faults; "none" clears all; a kind replaces its own earlier order.
    Errors::Result<void> order(std::string_view body);
    /// The faults of the next request; uses up their counts.
    RequestFaults take();
    double slowFactor() const;
    /// Whether a flapping stand-in is down now.
    bool isDown() const;
    nlohmann::json describe() const;

private:
    const Runtime::Clock &m_clock;
    std::vector<Fault> m_faults;
};

std::string_view toString(FaultKind kind);

} // namespace Lagoonbank::Standins
