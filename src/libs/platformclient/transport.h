#pragma once

#include "base/ids.h"
#include "http/client.h"
#include "runtime/udpsocket.h"

#include <functional>

namespace Lagoonbank::PlatformClient {

/// Sends the HTTP calls of this library to the platform; replaced in tests.
struct Transport
{
    using Finished = std::function<void(const Http::CallResult &)>;

    /// Starts a call and sets its Call::server. Finished is never called before start() returns.
    std::function<Http::CallId(Http::Call, Finished)> start;
    /// Cancels a call, whose Finished is then not called.
    std::function<void(Http::CallId)> cancel;
};

struct HttpTransportOptions
{
    Http::Client *client = nullptr;
    Runtime::SocketAddress server;
    Base::VmId vm;
    Base::DataCentreId dataCentre;
    Base::Duration connectTimeout = std::chrono::milliseconds(500);
    /// Called with the size of each exchange for the accounting of control traffic; excludes the
    /// overhead of the layers below HTTP.
    std::function<void(Base::Bytes sent, Base::Bytes received)> metered;
};

/// Reaches the platform over HTTP. The client must outlive the calls.
Transport httpTransport(const HttpTransportOptions &options);

/// Approximate size of \a call in HTTP/1.1.
Base::Bytes wireSize(const Http::Call &call);
/// Approximate size of \a result in HTTP/1.1.
Base::Bytes wireSize(const Http::CallResult &result);

} // namespace Lagoonbank::PlatformClient
