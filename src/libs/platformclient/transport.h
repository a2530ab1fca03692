#pragma once

#include "base/ids.h"
#include "http/client.h"
#include "runtime/udpsocket.h"

#include <functional>

namespace Lagoonbank::PlatformClient {

/// How the clients of this library reach the platform; tests put their own in.
struct Transport
{
    using Finished = std::function<void(const Http::CallResult &)>;

    /// Starts a call; Call::server is filled in here. Finished is never called from within.
    std::function<Http::CallId(Http::Call, Finished)> start;
    /// Drops a call; Finished is not called any more.
    std::function<void(Http::CallId)> cancel;
};

struct HttpTransportOptions
{
    Http::Client *client = nullptr;
    Runtime::SocketAddress server;
    Base::VmId vm;
    Base::DataCentreId dataCentre;
    Base::Duration connectTimeout = std::chrono::milliseconds(500);
    /// Told the size of each exchange, so that it counts as control traffic. Bytes below HTTP are
    /// not in it.
    std::function<void(Base::Bytes sent, Base::Bytes received)> metered;
};

/// Reaches the platform over HTTP. The client has to outlive the transport's calls.
Transport httpTransport(const HttpTransportOptions &options);

/// Size of \a call as HTTP/1.1.
Base::Bytes wireSize(const Http::Call &call);
/// Size of \a result as HTTP/1.1.
Base::Bytes wireSize(const Http::CallResult &result);

} // namespace Lagoonbank::PlatformClient
