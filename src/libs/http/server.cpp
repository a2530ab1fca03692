#include "http/server.h"

#include "http/h2oserver.h"

#include <sys/resource.h>

#include <limits>
#include <utility>

namespace Lagoonbank::Http {

void Request::setTarget(std::string_view target)
{
    const std::size_t question = target.find('?');
    path = target.substr(0, question);
    query.clear();
    if (question != std::string_view::npos)
        query = target.substr(question + 1);
    hasEmptyQuery = question != std::string_view::npos && query.empty();
}

std::string Request::queryPart() const
{
    return query.empty() && !hasEmptyQuery ? std::string() : '?' + query;
}

std::string_view toString(LimitedConnection kind)
{
    switch (kind) {
    case LimitedConnection::WithoutRequest:
        return "without_request";
    case LimitedConnection::Idle:
        return "idle";
    case LimitedConnection::New:
        break;
    }
    return "new";
}

class Server::Private
{
public:
    explicit Private(Options options)
        : server(std::make_shared<Internal::H2oServer>(std::move(options)))
    { }

    std::shared_ptr<Internal::H2oServer> server;
};

std::size_t Server::callerConnectionLimit()
{
    constexpr std::size_t limitDivisor = 3;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return limit.rlim_cur / limitDivisor;
}

Server::Server(Options options)
    : d(std::make_unique<Private>(std::move(options)))
{ }

Server::~Server()
{
    d->server->shutDown();
}

void Server::setHandler(Handler handler)
{
    d->server->handler = std::move(handler);
}

void Server::setRefusalHandler(RefusalHandler handler)
{
    d->server->refusalHandler = std::move(handler);
}

Errors::Result<void> Server::listen()
{
    return d->server->listen();
}

const Runtime::SocketAddress &Server::address() const
{
    return d->server->address();
}

Errors::Result<void> Server::reloadTls()
{
    return d->server->loadTls();
}

void Server::setLimits(const Limits &limits)
{
    d->server->setLimits(limits);
}

void Server::startDraining()
{
    d->server->startDraining();
}

void Server::stopAccepting()
{
    d->server->stopAccepting();
}

std::size_t Server::openConnections() const
{
    return d->server->openConnections();
}

} // namespace Lagoonbank::Http
