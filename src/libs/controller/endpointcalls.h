#pragma once

#include "http/client.h"
#include "runtime/loop.h"

#include <functional>

/// The controller: probes endpoints and, while it holds the lease of its data centre, brings
/// engines to the state that the configuration specifies.
namespace Lagoonbank::Controller {

/// Starts calls from a controller to endpoints; tests replace it with a fake.
struct EndpointCalls
{
    using MaySend = std::function<bool()>;
    using Finished = std::function<void(const Http::CallResult &result)>;

    /// Starts a call. \a maySend is called just before the first byte is sent; if it returns
    /// false, nothing is sent and the call ends with NotConnected. \a finished is called once,
    /// asynchronously.
    std::function<void(Http::Call call, MaySend maySend, Finished finished)> start;
};

EndpointCalls httpEndpointCalls(Runtime::Loop &loop, Http::Client &client);

} // namespace Lagoonbank::Controller
