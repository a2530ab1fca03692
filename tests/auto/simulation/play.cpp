#include "auto/simulation/play.h"

#include <functional>

namespace Simulation {

using namespace Lagoonbank;

namespace {

constexpr Base::Duration lookInterval = std::chrono::milliseconds(50);
/// Of a step that is made shorter, or earlier.
constexpr std::int64_t roundMs = 100;

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

/// Whether all that the steps name is there.
bool isSound(const History &history)
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
            isShorter = leaveOutSteps();
            isShorter = leaveOutRouters() || isShorter;
            isShorter = shortenSteps() || isShorter;
        }
        return m_history;
    }

private:
    /// Takes the change over if the history still breaks the rule.
    bool attempt(const std::function<void(History &)> &change)
    {
        History shorter = m_history;
        change(shorter);
        if (!isSound(shorter))
            return false;
        const Outcome outcome = play(shorter);
        if (!outcome.violation || outcome.violation->rule != m_rule)
            return false;
        m_history = shorter;
        return true;
    }
    bool leaveOutSteps()
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
    bool leaveOutRouters()
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
            const std::int64_t lasts = m_history.steps[i].durationMs / 2 / roundMs * roundMs;
            if (lasts == 0)
                continue;
            isShorter =
                attempt([i, lasts](History &history) { history.steps[i].durationMs = lasts; })
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
    world.play(checks.end(), lookInterval, [&checks] { return checks.check(); });
    return {checks.violation(), checks.fingerprint(), checks.states()};
}

History shrink(const History &failing, const Violation &violation)
{
    return Shrinker(failing, violation.rule).run();
}

} // namespace Simulation
