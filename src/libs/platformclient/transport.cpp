#include "platformclient/transport.h"

#include <string>
#include <utility>

namespace Lagoonbank::PlatformClient {

namespace {

/// The request line without method and target, and the host and content-length headers.
constexpr std::size_t requestOverhead = 70;
/// The status line and the empty line after the headers.
constexpr std::size_t answerOverhead = 20;
/// The colon, space and line end of a header.
constexpr std::size_t headerOverhead = 4;

std::size_t sizeOf(const Http::Headers &headers)
{
    std::size_t size = 0;
    for (const Http::Header &field : headers.fields())
        size += field.name.size() + field.value.size() + headerOverhead;
    return size;
}

} // namespace

Base::Bytes wireSize(const Http::Call &call)
{
    return Base::Bytes(requestOverhead + call.method.size() + call.target.size()
                       + sizeOf(call.headers) + call.body.size());
}

Base::Bytes wireSize(const Http::CallResult &result)
{
    if (result.status == 0)
        return Base::Bytes(0);
    return Base::Bytes(answerOverhead + sizeOf(result.headers) + result.body.size());
}

Transport httpTransport(const HttpTransportOptions &options)
{
    Transport transport;
    transport.start = [options](Http::Call call, Transport::Finished finished) {
        call.server = options.server;
        call.connectTimeout = options.connectTimeout;
        call.headers.add("x-vm", options.vm.value());
        call.headers.add("x-data-centre", options.dataCentre.value());
        const Base::Bytes sent = wireSize(call);
        Http::Hooks hooks;
        hooks.finished = [metered = options.metered, sent,
                          finished = std::move(finished)](const Http::CallResult &result) {
            if (metered)
                metered(result.mayHaveBeenSent ? sent : Base::Bytes(0), wireSize(result));
            finished(result);
        };
        return options.client->start(std::move(call), std::move(hooks));
    };
    transport.cancel = [client = options.client](Http::CallId call) { client->cancel(call); };
    return transport;
}

} // namespace Lagoonbank::PlatformClient
