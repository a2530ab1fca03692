#include "fleetsync/fleetlink.h"

#include "schema/messagecodec.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

constexpr std::string_view statePath = "/fleet/state";
constexpr std::string_view quarantinesPath = "/fleet/quarantines";
constexpr std::string_view streamStatePath = "/fleet/streams";
/// Timeout of a call of a starting router, which takes no requests meanwhile. A peer answers within
/// some milliseconds.
constexpr Base::Duration startCallTimeout = std::chrono::milliseconds(300);
constexpr Base::Duration startConnectTimeout = std::chrono::milliseconds(150);
/// Connect timeout of a pull. A reachable peer accepts within a few ms; otherwise another peer has
/// to be asked in time.
constexpr Base::Duration pullConnectTimeout = std::chrono::milliseconds(400);
/// Timeout of a whole pull: fifteen times as long as the largest current configuration takes over
/// the slowest link, and half of the time in which a change has to be in force, so that another
/// peer can still be asked. The timeout doubles after each pull that exceeds it, as this router's
/// own link is slow then.
constexpr Base::Duration initialPullTimeout = std::chrono::seconds(1);
constexpr Base::Duration maxPullTimeout = std::chrono::seconds(8);
/// A stream that no router knows. Routers of any version answer a question for it.
constexpr std::uint64_t unusedStream = 0;
constexpr std::size_t maxPullRequestBytes = 1024;
/// Maximum size of one answer: 8,192 endpoints and a configuration of 4 MB when compressed.
constexpr double maxStateBytes = 6e6;
constexpr int ok = 200;
constexpr int tooBusy = 503;
constexpr int badRequest = 400;
constexpr int notFound = 404;

/// A call on a connection of its own, as a kept one may have gone silent. \a timeout limits the
/// whole call.
Http::Call peerCall(const Runtime::SocketAddress &peer, std::string_view path, std::string body,
                    Base::Duration connectTimeout, Base::Duration timeout)
{
    Http::Call call;
    call.server = peer;
    call.method = "POST";
    call.target = path;
    call.body = std::move(body);
    call.freshConnection = true;
    call.connectTimeout = connectTimeout;
    call.headTimeout = timeout;
    call.progressTimeout = timeout;
    call.totalTimeout = timeout;
    return call;
}

} // namespace

FleetLink::FleetLink(Options options)
    : m_options(std::move(options))
    , m_stateByteBudget({.rate = m_options.stateBytesPerSecond,
                         .burst = m_options.stateBytesPerSecond,
                         .debt = maxStateBytes})
    , m_pullTimeout(initialPullTimeout)
{ }

FleetLink::~FleetLink()
{
    m_options.sync->send = nullptr;
    m_options.sync->pull = nullptr;
    m_options.prompts->send = nullptr;
    m_options.loads->send = nullptr;
    m_options.crashes->send = nullptr;
    m_options.parts->send = nullptr;
    m_options.streams->send = nullptr;
    m_options.silence->probe = nullptr;
}

Errors::Result<std::unique_ptr<FleetLink>> FleetLink::open(Options options)
{
    std::unique_ptr<FleetLink> link(new FleetLink(std::move(options)));
    Options &own = link->m_options;
    BOOST_OUTCOME_TRY(socket, Runtime::UdpSocket::bind({.loop = own.loop, .address = own.address}));
    link->m_socket = std::move(socket);
    link->m_socket->setReceived(
        [raw = link.get()](const Runtime::SocketAddress &from, std::string_view datagram) {
            raw->receive(from, datagram);
        });
    link->m_server =
        std::make_unique<Http::Server>(Http::Server::Options{.loop = own.loop,
                                                             .address = own.address,
                                                             .halfCloseMeansDisconnect = true,
                                                             .maxConnections = own.maxConnections,
                                                             .memory = own.memory});
    link->m_server->setHandler(
        [raw = link.get()](Http::Request request,
                           const std::shared_ptr<Http::Responder> &responder) {
            raw->handleCall(std::move(request), responder);
        });
    BOOST_OUTCOME_TRYV(link->m_server->listen());
    own.sync->send = [raw = link.get()](const auto &to, const auto &beacon) {
        raw->send(to, beacon);
    };
    own.prompts->send = [raw = link.get()](const auto &to, const auto &message) {
        raw->send(to, message);
    };
    own.loads->send = [raw = link.get()](const auto &to, const auto &message) {
        raw->send(to, message);
    };
    own.crashes->send = [raw = link.get()](const auto &to, const auto &message) {
        raw->send(to, message);
    };
    own.parts->send = [raw = link.get()](const auto &to, const auto &message) {
        raw->send(to, message);
    };
    own.streams->send = [raw = link.get()](const auto &to, const auto &message) {
        raw->send(to, message);
    };
    own.endpointEnds->send = [raw = link.get()](const auto &to, const auto &message) {
        raw->send(to, message);
    };
    own.silence->probe = [raw = link.get()](const auto &to) {
        raw->send(to, Schema::StreamUpdate{.asked = {unusedStream}});
    };
    own.sync->pull = [raw = link.get()](const auto &peer, const auto &request) {
        raw->pull(peer, request);
    };
    return link;
}

template<typename Message>
void FleetLink::send(const Runtime::SocketAddress &to, const Message &message)
{
    const auto body = Schema::encodeMessage(message);
    if (!body) {
        m_options.failed(body.error());
        return;
    }
    m_socket->send(to, body.value());
    m_options.sent(body.value().size());
}

void FleetLink::receive(const Runtime::SocketAddress &from, std::string_view datagram)
{
    m_options.silence->heard(from);
    const auto version = Schema::messageVersion(datagram);
    if (version == versionOf(Schema::PromptUpdate{})) {
        read<Schema::PromptUpdate>(
            datagram, [this](const auto &message) { m_options.prompts->receive(message); });
    } else if (version == versionOf(Schema::LoadUpdate{})) {
        read<Schema::LoadUpdate>(datagram, [this](const auto &message) {
            m_options.loads->receive(message, m_options.sync->arrivalDelay());
        });
    } else if (version == versionOf(Schema::CrashUpdate{})) {
        read<Schema::CrashUpdate>(
            datagram, [this](const auto &message) { m_options.crashes->receive(message); });
    } else if (version == versionOf(Schema::PartUpdate{})) {
        read<Schema::PartUpdate>(datagram, [this, &from](const auto &message) {
            m_options.parts->receive(from, message);
        });
    } else if (version == versionOf(Schema::StreamUpdate{})) {
        read<Schema::StreamUpdate>(datagram, [this, &from](const auto &message) {
            m_options.streams->receive(from, message);
        });
    } else if (version == versionOf(Schema::EndpointEndUpdate{})) {
        read<Schema::EndpointEndUpdate>(
            datagram, [this](const auto &message) { m_options.endpointEnds->receive(message); });
    } else {
        read<Schema::FleetBeacon>(datagram, [this, &from](const auto &beacon) {
            m_options.sync->receive(from.ip, beacon);
        });
    }
}

template<typename Message, typename Handler>
void FleetLink::read(std::string_view datagram, const Handler &handle)
{
    const auto message = Schema::decodeMessage<Message>(datagram);
    if (message)
        handle(message.value());
    else
        m_options.failed(message.error());
}

void FleetLink::pull(const Runtime::SocketAddress &peer, const Schema::FleetStateRequest &request)
{
    auto body = Schema::encodeMessage(request);
    if (!body) {
        m_options.failed(body.error());
        m_options.sync->pullFailed();
        return;
    }
    Http::Call call =
        peerCall(peer, statePath, std::move(body.value()), pullConnectTimeout, m_pullTimeout);
    const Base::MonoTime startedAt = m_options.loop->clock().now();
    const auto finished = [this, peer, startedAt, isAlive = std::weak_ptr<bool>(m_isAlive)](
                              const Http::CallResult &result) {
        if (!isAlive.expired())
            pullFinished(peer, startedAt, result);
    };
    ++m_pullsInFlight;
    m_options.client->start(std::move(call), {.finished = finished});
}

void FleetLink::pullFinished(const Runtime::SocketAddress &peer, Base::MonoTime startedAt,
                             const Http::CallResult &result)
{
    const Base::Duration duration = m_options.loop->clock().now() - startedAt;
    const std::size_t inFlight = m_pullsInFlight--;
    const bool isTooSlow = result.end == Http::CallEnd::TimedOut && result.status == ok;
    m_pullTimeout = isTooSlow ? std::min(2 * m_pullTimeout, maxPullTimeout) : initialPullTimeout;
    if (result.end == Http::CallEnd::Whole && result.status == tooBusy) {
        // The next beacon of this peer or of another router leads to the next pull.
        m_options.sync->pullRefused();
        return;
    }
    if (result.end != Http::CallEnd::Whole || result.status != ok) {
        m_options.failed(Errors::makeError(Errors::ErrorKind::EndpointBroke,
                                           "pull from " + Runtime::toString(peer) + " after "
                                               + std::to_string(Base::toMilliseconds(duration))
                                               + " ms: " + result.detail));
        m_options.sync->pullFailed();
        return;
    }
    const auto state = Schema::decodeMessage<Schema::FleetStateAnswer>(result.body);
    if (!state) {
        m_options.failed(state.error());
        m_options.sync->pullFailed();
        return;
    }
    m_options.received(
        {.peer = peer, .bytes = result.body.size(), .duration = duration, .inFlight = inFlight},
        state.value());
    m_options.sync->pullSucceeded(state.value());
}

void FleetLink::handleCall(Http::Request request, const std::shared_ptr<Http::Responder> &responder)
{
    if (m_options.relayed && request.path.starts_with(relayPath)) {
        request.path.erase(0, relayPath.size());
        m_options.relayed(std::move(request), responder);
    } else if (request.path == statePath) {
        answerState(request, *responder);
    } else if (m_options.quarantines && request.path == quarantinesPath) {
        answerStart(request, m_options.quarantines, *responder);
    } else if (m_options.streamState && request.path == streamStatePath) {
        answerStart(request, m_options.streamState, *responder);
    } else {
        responder->send(notFound, {}, {});
    }
}

void FleetLink::answerState(const Http::Request &request, Http::Responder &responder)
{
    const auto decoded = Schema::decodeMessage<Schema::FleetStateRequest>(request.body);
    if (request.body.size() > maxPullRequestBytes || !decoded) {
        responder.send(badRequest, {}, {});
        return;
    }
    const Base::MonoTime now = m_options.loop->clock().now();
    if (m_stateByteBudget.waitFor(1, now) != Base::Duration::zero()) {
        responder.send(tooBusy, {}, {});
        return;
    }
    sendAnswer(m_options.sync->answer(decoded.value()), responder);
}

template<typename Answer, typename Request>
void FleetLink::answerStart(const Http::Request &request,
                            const std::function<Answer(const Request &)> &state,
                            Http::Responder &responder)
{
    const auto decoded = Schema::decodeMessage<Request>(request.body);
    if (request.body.size() > maxPullRequestBytes || !decoded) {
        responder.send(badRequest, {}, {});
        return;
    }
    sendAnswer(state(decoded.value()), responder);
}

template<typename Message>
void FleetLink::sendAnswer(const Message &message, Http::Responder &responder)
{
    auto body = Schema::encodeMessage(message);
    if (!body) {
        m_options.failed(body.error());
        responder.abort();
        return;
    }
    m_stateByteBudget.charge(static_cast<double>(body.value().size()),
                             m_options.loop->clock().now());
    m_options.sent(body.value().size());
    responder.send(ok, {{"content-type", "application/octet-stream"}}, std::move(body.value()));
}

template<typename Answer, typename Request>
void FleetLink::askAtStart(const Runtime::SocketAddress &peer, std::string_view path,
                           const Request &request,
                           std::function<void(const Errors::Result<Answer> &)> answered)
{
    auto body = Schema::encodeMessage(request).value();
    Http::Call call = peerCall(peer, path, std::move(body), startConnectTimeout, startCallTimeout);
    m_options.client->start(
        std::move(call),
        {.finished = [answered = std::move(answered),
                      isAlive = std::weak_ptr<bool>(m_isAlive)](const Http::CallResult &result) {
            if (isAlive.expired())
                return;
            if (result.end == Http::CallEnd::Whole && result.status == ok)
                answered(Schema::decodeMessage<Answer>(result.body));
            else if (result.end == Http::CallEnd::Whole && result.status == notFound)
                answered(Answer());
            else
                answered(Errors::makeError(Errors::ErrorKind::EndpointBroke, result.detail));
        }});
}

void FleetLink::askForQuarantines(const Runtime::SocketAddress &peer, const std::string &router,
                                  QuarantinePull::Answered answered)
{
    askAtStart<Schema::QuarantineAnswer>(
        peer, quarantinesPath, Schema::QuarantineRequest{.router = router}, std::move(answered));
}

void FleetLink::askForStreamState(const Runtime::SocketAddress &peer, StreamStateAnswered answered)
{
    askAtStart<Schema::StreamStateAnswer>(
        peer, streamStatePath,
        Schema::StreamStateRequest{.address = Runtime::toString(m_options.address)},
        std::move(answered));
}

} // namespace Lagoonbank::FleetSync
