#include "standins/support/faults.h"

#include "standins/support/requestfields.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string>

namespace Lagoonbank::Standins {

namespace {

struct FaultRow
{
    FaultKind kind;
    std::string_view name;
    bool perRequest; ///< Whether it affects single requests and can be limited by a count.
};

constexpr std::array faultTable{
    FaultRow{FaultKind::Slow, "slow", false},
    FaultRow{FaultKind::CrashBefore, "crash_before", true},
    FaultRow{FaultKind::CrashAfterRequest, "crash_after_request", true},
    FaultRow{FaultKind::CrashMidStream, "crash_mid_stream", true},
    FaultRow{FaultKind::CrashAfterAnswer, "crash_after_answer", true},
    FaultRow{FaultKind::Silent, "silent", true},
    FaultRow{FaultKind::Late, "late", true},
    FaultRow{FaultKind::Crossed, "crossed", true},
    FaultRow{FaultKind::Cut, "cut", true},
    FaultRow{FaultKind::RanButRefused, "ran_but_refused", true},
    FaultRow{FaultKind::RunTwice, "run_twice", true},
    FaultRow{FaultKind::Refuse, "refuse", true},
    FaultRow{FaultKind::Flap, "flap", false},
    FaultRow{FaultKind::AcceptWhileDraining, "accept_while_draining", true},
};

constexpr std::int64_t maxAfterTokens = 1'000'000;
constexpr double maxSlowFactor = 1000;
constexpr Base::Duration defaultPeriod = std::chrono::seconds(1);

const FaultRow *rowByName(std::string_view name)
{
    const auto found = std::ranges::find(faultTable, name, &FaultRow::name);
    return found == faultTable.end() ? nullptr : &*found;
}

Errors::Error badRequest(std::string detail)
{
    return Errors::makeError(Errors::ErrorKind::BadRequest, std::move(detail));
}

Fault readFault(RequestFields &fields, const FaultRow &row)
{
    Fault fault{.kind = row.kind};
    if (row.perRequest && fields.has("count"))
        fault.count = fields.number("count", std::nullopt, 1, std::numeric_limits<int>::max());
    if (fields.has("after_tokens"))
        fault.afterTokens = fields.number("after_tokens", std::nullopt, 0, maxAfterTokens);
    fault.factor = fields.real("factor", 1, 1, maxSlowFactor);
    fault.delay = fields.milliseconds("delay_ms", Base::Duration::zero());
    fault.period = fields.milliseconds("period_ms", defaultPeriod);
    fault.keepRun = fields.flag("keep", false);
    fault.keepId = fields.flag("keep_id", false);
    return fault;
}

} // namespace

const Fault *RequestFaults::find(FaultKind kind) const
{
    const auto found = std::ranges::find(m_faults, kind, &Fault::kind);
    return found == m_faults.end() ? nullptr : &*found;
}

Errors::Result<void> FaultSet::inject(std::string_view body)
{
    RequestFields fields = RequestFields::parse(body);
    const std::string name = fields.text("fault");
    const FaultRow *row = rowByName(name);
    Fault fault;
    if (row)
        fault = readFault(fields, *row);
    if (const auto read = fields.finish(); !read)
        return read.error();
    if (!row && name != "none")
        return badRequest("unknown fault \"" + name + "\"");
    if (!row) {
        m_faults.clear();
        return boost::outcome_v2::success();
    }
    if (fault.period <= Base::Duration::zero())
        return badRequest("\"period_ms\" must be more than 0");
    fault.injectedAt = m_clock.now();
    std::erase_if(m_faults, [&](const Fault &old) { return old.kind == fault.kind; });
    m_faults.push_back(fault);
    return boost::outcome_v2::success();
}

RequestFaults FaultSet::takeForRequest()
{
    std::vector<Fault> taken = m_faults;
    for (Fault &fault : m_faults) {
        if (fault.count)
            --*fault.count;
    }
    std::erase_if(m_faults, [](const Fault &fault) { return fault.count == 0; });
    return RequestFaults(std::move(taken));
}

double FaultSet::slowFactor() const
{
    const auto found = std::ranges::find(m_faults, FaultKind::Slow, &Fault::kind);
    return found == m_faults.end() ? 1 : found->factor;
}

bool FaultSet::isDown() const
{
    const auto found = std::ranges::find(m_faults, FaultKind::Flap, &Fault::kind);
    if (found == m_faults.end())
        return false;
    return ((m_clock.now() - found->injectedAt) / found->period) % 2 == 0;
}

nlohmann::json FaultSet::describe() const
{
    nlohmann::json faults = nlohmann::json::array();
    for (const Fault &fault : m_faults) {
        nlohmann::json entry{{"fault", toString(fault.kind)}};
        if (fault.count)
            entry["count"] = *fault.count;
        faults.push_back(std::move(entry));
    }
    return {{"faults", std::move(faults)}};
}

std::string_view toString(FaultKind kind)
{
    return std::ranges::find(faultTable, kind, &FaultRow::kind)->name;
}

} // namespace Lagoonbank::Standins
