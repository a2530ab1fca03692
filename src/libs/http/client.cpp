#include "http/client.h"

#include "http/clientcall.h"
#include "http/connectioncheck.h"

#include <absl/container/flat_hash_map.h>
#include <openssl/ssl.h>

#include <algorithm>
#include <utility>

namespace Lagoonbank::Http {

namespace {

SSL_CTX *makeTlsContext(const std::string &caFile)
{
    SSL_CTX *context = SSL_CTX_new(TLS_client_method());
    SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
    SSL_CTX_set_verify(context, SSL_VERIFY_PEER, nullptr);
    if (caFile.empty())
        SSL_CTX_set_default_verify_paths(context);
    else
        SSL_CTX_load_verify_locations(context, caFile.c_str(), nullptr);
    return context;
}

} // namespace

class Client::Private
{
public:
    explicit Private(Options given)
        : options(std::move(given))
        , context{*options.loop,
                  {*options.loop, options.idleTimeout},
                  options.maxIdlePerServer,
                  options.userTimeout,
                  nullptr,
                  [this](CallId id) { calls.erase(id); }}
    { }
    ~Private()
    {
        calls.clear();
        checks.clear();
        if (context.tls)
            SSL_CTX_free(context.tls);
    }

    Options options;
    Internal::ClientContext context;
    std::uint64_t lastId = 0;
    absl::flat_hash_map<CallId, std::shared_ptr<Internal::ClientCall>> calls;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<Internal::ConnectionCheck>> checks;
};

Client::Client(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{ }

Client::~Client() = default;

CallId Client::start(Call call, Hooks hooks)
{
    if (call.tls && !d->context.tls)
        d->context.tls = makeTlsContext(d->options.caFile);
    const CallId id{++d->lastId};
    const auto started =
        std::make_shared<Internal::ClientCall>(d->context, id, std::move(call), std::move(hooks));
    d->calls.emplace(id, started);
    started->start();
    return id;
}

void Client::checkReachable(const Runtime::SocketAddress &server, Base::Duration timeout,
                            std::function<void(bool isReachable)> checked, Base::Duration holdTime)
{
    const std::uint64_t id = ++d->lastId;
    const auto check = std::make_shared<Internal::ConnectionCheck>(
        *d->options.loop, [this, id, checked = std::move(checked)](bool isReachable) {
            d->checks.erase(id);
            checked(isReachable);
        });
    d->checks.emplace(id, check);
    check->start(server, timeout, holdTime);
}

std::size_t Client::openConnections(const Runtime::SocketAddress &server, Base::MonoTime time) const
{
    const auto isOpen = [&](const auto &entry) {
        return entry.second->hasOpenConnection(server, time);
    };
    const auto inUse = std::count_if(d->calls.begin(), d->calls.end(), isOpen);
    return d->context.pool.openCount(server, time) + static_cast<std::size_t>(inUse);
}

void Client::setReading(CallId call, bool reads)
{
    const auto found = d->calls.find(call);
    if (found != d->calls.end())
        found->second->setReading(reads);
}

void Client::cancel(CallId call)
{
    const auto found = d->calls.find(call);
    if (found == d->calls.end())
        return;
    const std::shared_ptr<Internal::ClientCall> dropped = found->second;
    d->calls.erase(found);
    dropped->drop();
}

void Client::setIdleConnectionHandler(
    std::function<void(const Runtime::SocketAddress &server)> ended)
{
    d->context.pool.endedByServer = std::move(ended);
}

std::size_t Client::activeCalls() const
{
    return d->calls.size();
}

} // namespace Lagoonbank::Http
