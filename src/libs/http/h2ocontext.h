#pragma once

#include "runtime/loop.h"

#include <h2o.h>

#include <cstddef>
#include <memory>

namespace Lagoonbank::Http::Internal {

/// Configuration and context of h2o. Servers can share one, as each context costs time in every
/// iteration of the event loop.
class H2oContext
{
public:
    using OnRequest = int (*)(h2o_handler_t *handler, h2o_req_t *request);

    H2oContext(Runtime::Loop &loop, std::size_t maxBodyBytes, OnRequest onRequest);
    ~H2oContext();
    H2oContext(const H2oContext &) = delete;
    H2oContext &operator=(const H2oContext &) = delete;

    /// Context shared by all servers of \a loop that share one and have the same body limit.
    static std::shared_ptr<H2oContext> shared(Runtime::Loop &loop, std::size_t maxBodyBytes,
                                              OnRequest onRequest);

    h2o_context_t *native() { return &m_context; }
    h2o_hostconf_t **hosts() { return m_configuration.hosts; }

private:
    h2o_globalconf_t m_configuration{};
    h2o_context_t m_context{};
};

} // namespace Lagoonbank::Http::Internal
