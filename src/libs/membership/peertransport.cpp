#include "membership/peertransport.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

namespace Lagoonbank::Membership {

namespace {

constexpr std::string_view pullPath = "/peer/";
constexpr std::string_view membershipStateName = "membership";
constexpr Base::Duration minTickInterval = std::chrono::milliseconds(5);
constexpr Base::Duration pullConnectTimeout = std::chrono::seconds(1);
constexpr Base::Duration pullTimeout = std::chrono::seconds(5);
/// From this number on idle connections are closed.
constexpr std::size_t maxPeerConnections = 512;
constexpr std::size_t maxPullRequestBytes = 256 * 1024;
/// Estimated size of the HTTP headers of a pull's request or answer, which count towards the
/// budget.
constexpr std::size_t pullHeadBytes = 400;

Errors::Error badMessage(std::string detail)
{
    return Errors::makeError(Errors::ErrorKind::BadMessage, std::move(detail));
}

/// Identifies a pull. The answer has to repeat it, so that an old answer can't be replayed.
std::string bindingOf(const std::string &id, std::uint64_t incarnation, std::uint64_t number)
{
    return id + '/' + std::to_string(incarnation) + '/' + std::to_string(number);
}

/// Body of a pull or its answer before it is sealed: name, binding and logical time on a line each,
/// then the contents.
std::string frame(std::string_view name, std::string_view binding, const MessageTime &time,
                  std::string_view contents)
{
    std::string text;
    text.append(name).append("\n").append(binding).append("\n");
    text.append(std::to_string(time.wallMs)).append("+").append(std::to_string(time.counter));
    text.append("\n").append(contents);
    return text;
}

struct Frame
{
    std::string_view name;
    std::string_view binding;
    MessageTime time;
    std::string_view contents;
};

/// Reads a logical time of the form `<wall ms>+<counter>`.
std::optional<MessageTime> readTime(std::string_view text)
{
    const std::size_t plus = text.find('+');
    if (plus == std::string_view::npos)
        return std::nullopt;
    const auto read = [](std::string_view digits, auto &number) {
        const char *end = digits.data() + digits.size();
        const auto [stop, error] = std::from_chars(digits.data(), end, number);
        return error == std::errc() && stop == end;
    };
    MessageTime time;
    if (!read(text.substr(0, plus), time.wallMs) || !read(text.substr(plus + 1), time.counter))
        return std::nullopt;
    return time;
}

std::optional<Frame> readFrame(std::string_view text)
{
    const std::size_t first = text.find('\n');
    if (first == std::string_view::npos)
        return std::nullopt;
    const std::size_t second = text.find('\n', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    const std::size_t third = text.find('\n', second + 1);
    if (third == std::string_view::npos)
        return std::nullopt;
    const auto time = readTime(text.substr(second + 1, third - second - 1));
    if (!time)
        return std::nullopt;
    return Frame{text.substr(0, first), text.substr(first + 1, second - first - 1), *time,
                 text.substr(third + 1)};
}

} // namespace

Errors::Result<std::unique_ptr<PeerTransport>> PeerTransport::start(Options options)
{
    if (auto checked = PeerCodec::checkKeys(options.keys); !checked)
        return std::move(checked).error();
    std::unique_ptr<PeerTransport> transport(new PeerTransport(std::move(options)));
    auto socket = Runtime::UdpSocket::bind(
        {.loop = transport->m_options.loop, .address = transport->m_options.address});
    if (!socket)
        return std::move(socket).error();
    transport->m_socket = std::move(socket).value();
    transport->m_server = std::make_unique<Http::Server>(
        Http::Server::Options{.loop = transport->m_options.loop,
                              .address = transport->m_socket->address(),
                              .limits = {.bodyBytes = maxPullRequestBytes},
                              .maxConnections = maxPeerConnections});
    transport->connect();
    if (auto listening = transport->m_server->listen(); !listening)
        return std::move(listening).error();
    transport->tick();
    return transport;
}

PeerTransport::PeerTransport(Options options)
    : m_options(std::move(options))
    , m_codec({.id = m_options.membership->self().id,
               .incarnation = m_options.membership->self().incarnation,
               .keys = m_options.keys})
{ }

PeerTransport::~PeerTransport()
{
    *m_isAlive = false;
    m_options.loop->timers().cancel(m_timer);
    m_options.membership->messageReady = nullptr;
    m_options.membership->statePullNeeded = nullptr;
    m_options.membership->incarnationRaised = nullptr;
}

void PeerTransport::connect()
{
    Membership &membership = *m_options.membership;
    membership.messageReady = [this](const Runtime::SocketAddress &to, const PeerMessage &message) {
        const Errors::Result<std::string> body = encodeMessage(message);
        if (body)
            m_socket->send(to, m_codec.seal(body.value()));
    };
    membership.incarnationRaised = [this](Base::Incarnation incarnation) {
        m_codec.setIncarnation(incarnation.value());
    };
    membership.statePullNeeded = [this](const Runtime::SocketAddress &peer,
                                        const StateRequest &request) { pullState(peer, request); };
    m_socket->setReceived([this](const Runtime::SocketAddress &from, std::string_view datagram) {
        receive(from, datagram);
    });
    m_server->setHandler(
        [this](const Http::Request &request, const std::shared_ptr<Http::Responder> &responder) {
            answer(request, *responder);
        });
    setProvider(std::string(membershipStateName),
                [this](std::string_view argument) -> Errors::Result<std::string> {
                    const Errors::Result<StateRequest> request = decodeStateRequest(argument);
                    if (!request)
                        return request.error();
                    return encodeStateAnswer(m_options.membership->answer(request.value(), now()));
                });
}

void PeerTransport::setProvider(const std::string &name, Provider provider)
{
    m_providers[name] = std::move(provider);
}

void PeerTransport::receive(const Runtime::SocketAddress &from, std::string_view datagram)
{
    std::optional<Sender> outdated;
    const std::optional<OpenedMessage> opened = m_codec.open(datagram, &outdated);
    if (outdated)
        m_options.membership->receiveOutdated(*outdated, from,
                                              m_codec.seenIncarnation(outdated->id), now());
    if (!opened)
        return;
    if (!opened->body.empty() && opened->body.front() == directMark) {
        if (directReceived)
            directReceived(opened->sender, opened->body);
        return;
    }
    const Errors::Result<PeerMessage> message = decodeMessage(opened->body);
    if (!message) {
        m_codec.countDrop(DropReason::BadBody);
        return;
    }
    m_options.membership->receive(opened->sender, from, message.value(), now());
}

bool PeerTransport::sendDirect(const Runtime::SocketAddress &to, std::string_view body)
{
    const std::string sealed = m_codec.seal(body);
    const std::size_t bytes = sealed.size() + datagramOverheadBytes;
    if (!m_options.budget->take(ControlPriority::Membership, ControlTraffic::Beacon, bytes, now()))
        return false;
    return m_socket->send(to, sealed);
}

void PeerTransport::answer(const Http::Request &request, Http::Responder &responder)
{
    const auto refuse = [&responder](Errors::ErrorKind kind) {
        responder.send(Errors::errorRow(kind).httpStatus, {}, {});
    };
    if (request.method != "POST" || !request.path.starts_with(pullPath))
        return refuse(Errors::ErrorKind::NotFound);
    const std::optional<OpenedMessage> opened = m_codec.openPulled(request.body);
    if (!opened)
        return refuse(Errors::ErrorKind::WrongPeerKey);
    const std::optional<Frame> pullRequest = readFrame(opened->body);
    if (!pullRequest
        || pullRequest->name != std::string_view(request.path).substr(pullPath.size())) {
        m_codec.countDrop(DropReason::BadBody);
        return refuse(Errors::ErrorKind::BadMessage);
    }
    m_options.membership->receiveTime(pullRequest->time);
    const auto provider = m_providers.find(std::string(pullRequest->name));
    if (provider == m_providers.end())
        return refuse(Errors::ErrorKind::NotFound);
    const Errors::Result<std::string> contents = provider->second(pullRequest->contents);
    if (!contents)
        return refuse(contents.error().kind);
    std::string sealed = m_codec.seal(frame(pullRequest->name, pullRequest->binding,
                                            m_options.membership->stamp(), contents.value()));
    if (!m_options.budget->takePull(sealed.size() + pullHeadBytes, now()))
        return refuse(Errors::ErrorKind::Overloaded);
    responder.send(200, {{"content-type", "application/octet-stream"}}, std::move(sealed));
}

void PeerTransport::pull(const Runtime::SocketAddress &peer, const std::string &name,
                         std::string_view argument, PullCallback pulled)
{
    const MemberUpdate &self = m_options.membership->self();
    const std::string binding = bindingOf(self.id, self.incarnation, ++m_pullNumber);
    std::string sealed =
        m_codec.seal(frame(name, binding, m_options.membership->stamp(), argument));
    if (!m_options.budget->takePull(sealed.size() + pullHeadBytes, now())) {
        m_options.loop->post([pulled = std::move(pulled)] {
            pulled(Errors::makeError(Errors::ErrorKind::Overloaded,
                                     "the budget for pulls is exhausted"));
        });
        return;
    }
    Http::Call call{.server = peer,
                    .method = "POST",
                    .target = std::string(pullPath) + name,
                    .headers = {{"content-type", "application/octet-stream"}},
                    .body = std::move(sealed),
                    .connectTimeout = pullConnectTimeout,
                    .headTimeout = pullTimeout,
                    .progressTimeout = pullTimeout,
                    .totalTimeout = 2 * pullTimeout,
                    .maxBodyBytes = maxPullBytes};
    Http::Hooks hooks;
    hooks.finished = [this, binding, isAlive = m_isAlive,
                      pulled = std::move(pulled)](const Http::CallResult &result) {
        if (*isAlive)
            finishPull(binding, result, pulled);
    };
    m_options.client->start(std::move(call), std::move(hooks));
}

void PeerTransport::finishPull(const std::string &binding, const Http::CallResult &result,
                               const PullCallback &pulled)
{
    using Errors::ErrorKind;
    if (result.end != Http::CallEnd::Whole || result.status != 200) {
        pulled(
            Errors::makeError(ErrorKind::EndpointUnreachable, "the peer did not answer the pull"));
        return;
    }
    const std::optional<OpenedMessage> opened = m_codec.openPulled(result.body);
    if (!opened) {
        pulled(
            Errors::makeError(ErrorKind::WrongPeerKey, "the seal of the peer's answer is invalid"));
        return;
    }
    const std::optional<Frame> response = readFrame(opened->body);
    if (!response || response->binding != binding) {
        pulled(badMessage("the peer's answer does not belong to this pull"));
        return;
    }
    m_options.membership->receiveTime(response->time);
    pulled(std::string(response->contents));
}

void PeerTransport::pullState(const Runtime::SocketAddress &peer, const StateRequest &request)
{
    const Errors::Result<std::string> body = encodeStateRequest(request);
    if (!body)
        return;
    pull(peer, std::string(membershipStateName), body.value(),
         [this](const Errors::Result<std::string> &answer) {
             if (!answer)
                 return;
             const Errors::Result<StateAnswer> state = decodeStateAnswer(answer.value());
             if (state)
                 m_options.membership->mergeState(state.value(), now());
         });
}

void PeerTransport::tick()
{
    m_options.membership->advance(now());
    const Base::Duration wait = m_options.membership->nextDue() - now();
    constexpr Base::Duration maxTickInterval = std::chrono::milliseconds(50);
    m_timer = m_options.loop->timers().start(std::clamp(wait, minTickInterval, maxTickInterval),
                                             [this] { tick(); });
}

} // namespace Lagoonbank::Membership
