#include "controller/prober.h"

#include <utility>

namespace Lagoonbank::Controller {

namespace {

constexpr Base::Duration tickInterval = std::chrono::milliseconds(100);
constexpr int httpOk = 200;
constexpr std::size_t maxAnswerBytes = 16 * 1024;

} // namespace

Prober::Prober(Options options)
    : m_options(std::move(options))
{ }

Prober::~Prober()
{
    *m_alive = false;
    m_options.timers->cancel(m_timer);
}

void Prober::start()
{
    tick();
}

void Prober::setTargets(const std::vector<Target> &targets)
{
    m_targets.clear();
    for (const Target &target : targets)
        m_targets.emplace(target.endpoint, target);
    std::erase_if(m_nextProbeAt,
                  [this](const auto &due) { return !m_targets.contains(due.first); });
}

void Prober::setPeriod(Base::Duration period)
{
    m_options.schedule.period = period;
}

void Prober::tick()
{
    m_timer = m_options.timers->start(tickInterval, [this] { tick(); });
    std::vector<Base::EndpointId> endpoints;
    endpoints.reserve(m_targets.size());
    for (const auto &[endpoint, target] : m_targets)
        endpoints.push_back(endpoint);
    const Orders::ProbeSchedule schedule(m_options.schedule);
    const auto assigned = schedule.probesOf(m_options.member, m_members, endpoints);
    m_probedEndpointCount = assigned.endpoints.size();
    const Base::MonoTime now = m_options.timers->clock().now();
    for (const Base::EndpointId &endpoint : assigned.endpoints) {
        Base::MonoTime &due = m_nextProbeAt[endpoint];
        if (now < due || m_probeSentAt.contains(endpoint))
            continue;
        if (!m_options.takeFromBudget(static_cast<std::size_t>(m_options.schedule.bytesPerProbe))) {
            if (deferred)
                deferred();
            return;
        }
        due = now + assigned.period;
        probe(m_targets.at(endpoint));
    }
}

void Prober::probe(const Target &target)
{
    const Base::MonoTime sentAt = m_options.timers->clock().now();
    m_probeSentAt[target.endpoint] = sentAt;
    Http::Call call{.server = target.address,
                    .target = "/v1/load",
                    .connectTimeout = m_options.timeout,
                    .headTimeout = m_options.timeout,
                    .progressTimeout = m_options.timeout,
                    .totalTimeout = m_options.timeout,
                    .maxBodyBytes = maxAnswerBytes};
    m_options.calls.start(
        std::move(call), [] { return true; },
        [this, alive = m_alive, endpoint = target.endpoint, sentAt](const auto &result) {
            if (*alive)
                handleResult(endpoint, sentAt, result);
        });
}

void Prober::handleResult(const Base::EndpointId &endpoint, Base::MonoTime sentAt,
                          const Http::CallResult &result)
{
    m_probeSentAt.erase(endpoint);
    if (!m_targets.contains(endpoint))
        return;
    const auto load = readLoadAnswer(result.body);
    const bool isSuccess = result.end == Http::CallEnd::Whole && result.status == httpOk;
    if (isSuccess && load) {
        // Counts the whole round trip towards the age of the sample, so that a sample never
        // appears more recent than it is.
        if (reported)
            reported(endpoint, load.value(), sentAt - load.value().sampleAge);
        return;
    }
    if (failed)
        failed(endpoint, isSuccess ? load.error().detail : result.detail);
}

} // namespace Lagoonbank::Controller
