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

/// Kinds of faults that can be injected into a stand-in. Their wire names are in `faultTable`.
enum class FaultKind : std::uint8_t {
    Slow, ///< All work takes `factor` times as long.
    CrashBefore, ///< Breaks the connection before any byte is sent; the request does not run.
    CrashAfterRequest, ///< Runs the request, then breaks the connection before any byte is sent.
    CrashMidStream, ///< Breaks the connection after `after_tokens`; the run crashes unless kept.
    CrashAfterAnswer, ///< Breaks the connection after the complete answer.
    Silent, ///< Never answers; with `after_tokens` runs, but sends only so many tokens.
    Late, ///< Delays the answer, but not the run, by `delay_ms`.
    Crossed, ///< Answers with another request's content and, unless `keep_id` is set, id.
    Cut, ///< Ends the stream cleanly after `after_tokens`, without its last event.
    RanButRefused, ///< Runs the request, but answers that it did not run.
    RunTwice, ///< Runs the request twice.
    Refuse, ///< Refuses the request, which does not run.
    Flap, ///< Alternates between breaking all connections and working, each for `period_ms`.
    AcceptWhileDraining ///< Accepts new requests while draining.
};

/// An injected fault.
struct Fault
{
    FaultKind kind = FaultKind::Slow;
    std::optional<std::int64_t> count; ///< Remaining requests to affect; unlimited if empty.
    double factor = 1;
    std::optional<std::int64_t> afterTokens;
    Base::Duration delay{};
    Base::Duration period{};
    bool keepRun = false; ///< A run survives its broken connection, so that it can be resumed.
    bool keepId = false; ///< A crossed answer keeps the id of its own request.
    Base::MonoTime injectedAt;
};

/// Faults that apply to one request.
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

/// Active faults of one stand-in, at most one of each kind.
class FaultSet
{
public:
    explicit FaultSet(const Runtime::Clock &clock)
        : m_clock(clock)
    { }

    /// Applies the body of `POST /faults`. "none" clears all faults; any other fault replaces the
    /// active one of its kind.
    Errors::Result<void> inject(std::string_view body);
    /// The faults that apply to the next request; decrements their counts.
    RequestFaults takeForRequest();
    double slowFactor() const;
    /// Whether a flapping stand-in is currently breaking connections.
    bool isDown() const;
    nlohmann::json describe() const;

private:
    const Runtime::Clock &m_clock;
    std::vector<Fault> m_faults;
};

std::string_view toString(FaultKind kind);

} // namespace Lagoonbank::Standins
