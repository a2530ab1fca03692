#include "http/h2ocontext.h"

#include "http/errorfilter.h"
#include "http/server.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <utility>

namespace Lagoonbank::Http::Internal {

namespace {

/// Effectively disables h2o's own timeouts, which depend on the wall clock. They must be less than
/// the wall clock's time since 1970, from which h2o subtracts them.
constexpr std::uint64_t neverMilliseconds = 365ULL * 24 * 3600 * 1000;

} // namespace

H2oContext::H2oContext(Runtime::Loop &loop, std::size_t maxBodyBytes, OnRequest onRequest)
{
    h2o_config_init(&m_configuration);
    m_configuration.server_name = h2o_iovec_init(H2O_STRLIT("lagoonbank"));
    m_configuration.max_request_entity_size = std::min(maxBodyBytes, Server::maxHttp2RequestBytes);
    m_configuration.http2.max_concurrent_requests_per_connection = Server::maxHttp2Requests;
    m_configuration.handshake_timeout = neverMilliseconds;
    m_configuration.http1.req_timeout = neverMilliseconds;
    m_configuration.http2.idle_timeout = neverMilliseconds;
    h2o_hostconf_t *host =
        h2o_config_register_host(&m_configuration, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    installErrorFilter(&host->fallback_path);
    h2o_create_handler(&host->fallback_path, sizeof(h2o_handler_t))->on_req = onRequest;
    h2o_context_init(&m_context, loop.native(), &m_configuration);
}

H2oContext::~H2oContext()
{
    // h2o leaves this timeout linked after a requested shutdown.
    if (h2o_timeout_is_linked(&m_context.http2._graceful_shutdown_timeout))
        h2o_timeout_unlink(&m_context.http2._graceful_shutdown_timeout);
    // h2o closes its queue but does not free it.
    static_assert(H2O_LIBRARY_VERSION_MAJOR == 0 && H2O_LIBRARY_VERSION_MINOR == 13,
                  "check whether this version of h2o frees its queue");
    h2o_multithread_queue_t *queue = m_context.queue;
    h2o_context_dispose(&m_context);
    std::free(queue); // NOLINT(cppcoreguidelines-no-malloc)
    h2o_config_dispose(&m_configuration);
}

std::shared_ptr<H2oContext> H2oContext::shared(Runtime::Loop &loop, std::size_t maxBodyBytes,
                                               OnRequest onRequest)
{
    static std::map<std::pair<Runtime::Loop *, std::size_t>, std::weak_ptr<H2oContext>> contexts;
    auto &entry = contexts[{&loop, maxBodyBytes}];
    auto context = entry.lock();
    if (!context) {
        context = std::make_shared<H2oContext>(loop, maxBodyBytes, onRequest);
        entry = context;
    }
    return context;
}

} // namespace Lagoonbank::Http::Internal
