#include "auto/simulation/play.h"

#include <functional>

namespace Simulation {

using namespace Lagoonbank;

namespace {

constexpr Base::Duration checkInterval = std::chrono::milliseconds(50);
/// Durations of shortened steps are rounded down to a multiple of this.
constexpr std::int64_t durationStepMs = 100;

std::size_t routerCount(const History &history)
{
    std::size_t count = 0;
    for (const std::size_t size : history.dataCentres)
        count += size;
    return count;
}

bool isEndpointStep(const Step &step)
{
    return step.kind >= StepKind::Drain && step.kind <= StepKind::LateWrite;
}

/// Whether all routers and endpoints that the steps refer to exist.
bool isValid(const History &history)
{
    const std::size_t routers = routerCount(history);
    for (const Step &step : history.steps) {
        if (isEndpointStep(step) ? step.target >= history.endpoints
                                 : step.target >= routers || step.other >= routers)
            return false;
    }
    return routers > 0 && history.endpoints > 0;
}

class Shrinker
{
public:
    Shrinker(const History &failing, const std::string &rule)
        : m_history(failing)
        , m_rule(rule)
    { }

    History run()
    {
        bool isShorter = true;
        while (isShorter) {
            isShorter = removeSteps();
            isShorter = removeRouters() || isShorter;
            isShorter = shortenSteps() || isShorter;
        }
        return m_history;
    }

private:
    /// Keeps the change if the history still breaks the rule.
    bool attempt(const std::function<void(History &)> &change)
    {
        History shorter = m_history;
        change(shorter);
        if (!isValid(shorter))
            return false;
        const Outcome outcome = play(shorter);
        if (!outcome.violation || outcome.violation->rule != m_rule)
            return false;
        m_history = shorter;
        return true;
    }
    bool removeSteps()
    {
        bool isShorter = false;
        for (std::size_t i = m_history.steps.size(); i-- > 0;) {
            isShorter =
                attempt([i](History &history) {
                    history.steps.erase(history.steps.begin() + static_cast<std::ptrdiff_t>(i));
                })
                || isShorter;
        }
        return isShorter;
    }
    bool removeRouters()
    {
        bool isShorter = false;
        for (std::size_t i = m_history.dataCentres.size(); i-- > 0;) {
            isShorter = attempt([i](History &history) {
                            if (--history.dataCentres[i] == 0)
                                history.dataCentres.erase(history.dataCentres.begin()
                                                          + static_cast<std::ptrdiff_t>(i));
                        })
                || isShorter;
        }
        return attempt([](History &history) { --history.endpoints; }) || isShorter;
    }
    bool shortenSteps()
    {
        bool isShorter = false;
        for (std::size_t i = 0; i < m_history.steps.size(); ++i) {
            const std::int64_t durationMs =
                m_history.steps[i].durationMs / 2 / durationStepMs * durationStepMs;
            if (durationMs == 0)
                continue;
            isShorter = attempt([i, durationMs](History &history) {
                            history.steps[i].durationMs = durationMs;
                        })
                || isShorter;
        }
        return isShorter;
    }

    History m_history;
    std::string m_rule;
};

} // namespace

Outcome play(const History &history, const std::function<void(const std::string &line)> &trace)
{
    World world(history);
    Checks checks(world, history);
    checks.trace = trace;
    world.play(checks.end(), checkInterval, [&checks] { return checks.check(); });
    return {checks.violation(), checks.fingerprint(), checks.states()};
}

History shrink(const History &failing, const Violation &violation)
{
    return Shrinker(failing, violation.rule).run();
}

} // namespace Simulation
