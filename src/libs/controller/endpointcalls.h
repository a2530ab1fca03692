#pragma once

#include "http/client.h"
#include "runtime/loop.h"

#include <functional>

/// What a controller does: probes endpoints, and as holder of its data centre's lease brings them
/// to the state that the configuration wants.
namespace Lagoonbank::Controller {

/// How a controller reaches endpoints; tests put their own in.
struct EndpointCalls
{
    using MaySend = std::function<bool()>;
    using Finished = std::function<void(const Http::CallResult &result)>;

    /// Starts a call. \a maySend is asked just before the first byte leaves, and if it says no
    /// the call ends as NotConnected with nothing sent. Finished is called once, later.
    std::function<void(Http::Call call, MaySend maySend, Finished finished)> start;
};

EndpointCalls httpEndpointCalls(Runtime::Loop &loop, Http::Client &client);

} // namespace Lagoonbank::Controller
