#include "gateway/gateway.h"

#include "gateway/requestrun.h"

#include <utility>

namespace Lagoonbank::Gateway {

Gateway::Gateway(Options options)
    : m_options(std::move(options))
    , m_endpoints(m_options.endpoints)
    , m_placement(m_options.placement)
    , m_retryBudget(m_options.retryBudget)
{ }

Gateway::~Gateway()
{
    const auto runs = std::exchange(m_runs, {});
    for (const auto &run : runs)
        run->drop();
}

void Gateway::setConfiguration(std::shared_ptr<const Fleet::Configuration> configuration)
{
    if (m_configuration && configuration->revision() <= m_configuration->revision())
        return;
    m_options.metrics->configuration.set(static_cast<double>(configuration->revision().value()));
    m_configuration = std::move(configuration);
}

void Gateway::run(CallerRequest request, std::shared_ptr<Http::Responder> responder)
{
    const auto run = std::make_shared<RequestRun>(*this, std::move(request), std::move(responder));
    m_runs.insert(run);
    m_options.metrics->requests.increment();
    m_options.metrics->inFlight.set(static_cast<double>(m_runs.size()));
    run->start();
}

} // namespace Lagoonbank::Gateway
