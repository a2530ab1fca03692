#include "controller/endpointcalls.h"

#include <memory>
#include <optional>
#include <utility>

namespace Lagoonbank::Controller {

namespace {

void finishUnsent(Runtime::Loop &loop, EndpointCalls::Finished finished)
{
    loop.post([finished = std::move(finished)] {
        finished({.end = Http::CallEnd::NotConnected, .detail = "the call is no longer permitted"});
    });
}

} // namespace

EndpointCalls httpEndpointCalls(Runtime::Loop &loop, Http::Client &client)
{
    EndpointCalls calls;
    calls.start = [&loop, &client](Http::Call call, EndpointCalls::MaySend maySend,
                                   EndpointCalls::Finished finished) {
        if (!maySend())
            return finishUnsent(loop, std::move(finished));
        // On a pooled connection the first byte is sent within start(), right after the check
        // above. Establishing a new connection takes time, so the check is repeated before sending.
        const auto id = std::make_shared<std::optional<Http::CallId>>();
        Http::Hooks hooks;
        hooks.sending = [&loop, &client, id, maySend = std::move(maySend), finished] {
            if (!*id || maySend())
                return;
            client.cancel(**id);
            finishUnsent(loop, finished);
        };
        hooks.finished = [finished](const Http::CallResult &result) { finished(result); };
        *id = client.start(std::move(call), std::move(hooks));
    };
    return calls;
}

} // namespace Lagoonbank::Controller
