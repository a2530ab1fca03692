#include "router/callerapi.h"

#include "exchange/modelexchange.h"
#include "router/contractrules.h"
#include "routing/rendezvous.h"
#include "runtime/loop.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Router {

using Errors::Error;
using Errors::ErrorKind;
using Errors::Ran;

namespace {

constexpr std::string_view modelPath = "/v1/chat/completions";
constexpr std::string_view servicesPrefix = "/services/";
/// Deadline of requests for which admission sets none.
constexpr Base::Duration defaultDeadline = std::chrono::seconds(30);
/// Retry-After value while this router has no configuration yet or is draining; a balancer may
/// send the retry to another router.
constexpr Base::Duration notReadyRetryAfter = std::chrono::seconds(1);

} // namespace

/// State of one caller's request from its arrival to its end.
struct CallerApi::Context
{
    Http::Request request;
    std::shared_ptr<Http::Responder> responder;
    std::shared_ptr<const Configuration::ObjectTable> objects;
    const Schema::Contract *contract = nullptr;
    RequestInfo info;
    Exchange::RouteQuery route;
    Admission::Ticket ticket;
    bool isStartNotified = false;
    bool isClaimed = false;
};

CallerApi::CallerApi(Options options)
    : m_options(std::move(options))
{ }

void CallerApi::setObjects(std::shared_ptr<const Configuration::ObjectTable> objects)
{
    m_objects = std::move(objects);
}

void CallerApi::handle(Http::Request request, std::shared_ptr<Http::Responder> responder)
{
    if (request.path == "/healthz" || request.path == "/readyz") {
        answerHealth(request.path, *responder);
        return;
    }
    const auto context = std::make_shared<Context>();
    context->request = std::move(request);
    context->responder = std::move(responder);
    context->objects = m_objects;
    context->info.id = m_options.nextRequestId();
    context->info.started = m_options.loop->clock().now();
    ++m_inFlight;
    if (m_draining || !m_ready) {
        const ErrorKind kind = m_draining ? ErrorKind::Draining : ErrorKind::NotReady;
        refuse(
            context,
            Exchange::Refusal{.error = Errors::makeError(kind), .retryAfter = notReadyRetryAfter});
        return;
    }
    if (context->request.path == modelPath)
        handleModelCall(context);
    else if (context->request.path.starts_with(servicesPrefix))
        handleServiceCall(context);
    else
        refuse(context, Errors::makeError(ErrorKind::NotFound));
}

void CallerApi::answerHealth(const std::string &path, Http::Responder &responder)
{
    const Http::Headers headers{{"content-type", "text/plain"},
                                {"x-request-id", m_options.nextRequestId().value()}};
    if (path == "/healthz")
        responder.send(200, headers, "alive\n");
    else
        responder.send(isReady() ? 200 : 503, headers, isReady() ? "ready\n" : "not ready\n");
}

std::string CallerApi::recordServerRefusal(ErrorKind kind)
{
    const RequestInfo info{.id = m_options.nextRequestId(),
                           .started = m_options.loop->clock().now()};
    if (requestStarted)
        requestStarted(info);
    if (requestEnded)
        requestEnded(info,
                     {.refusal = Exchange::Refusal{.error = Errors::makeError(kind)},
                      .status = Errors::errorRow(kind).httpStatus});
    return info.id.value();
}

/// Looks up the workspace of the bearer key and reads the idempotency key. If either fails, refuses
/// the request and returns false.
bool CallerApi::identify(const ContextPtr &context)
{
    const Http::Headers &headers = context->request.headers;
    const auto key = Exchange::readBearerKey(headers);
    if (!key) {
        refuse(context, key.error());
        return false;
    }
    context->contract = context->objects->contractOfKey(keyHash(key.value()));
    if (!context->contract) {
        refuse(context, Errors::makeError(ErrorKind::UnknownKey));
        return false;
    }
    context->info.workspace = context->contract->name;
    context->route.workspace = context->contract->name;

    const auto idempotencyKey = Exchange::readIdempotencyKey(headers);
    if (!idempotencyKey) {
        refuse(context, idempotencyKey.error());
        return false;
    }
    context->info.key = idempotencyKey.value();
    return true;
}

void CallerApi::notifyStarted(const ContextPtr &context)
{
    if (context->isStartNotified)
        return;
    context->isStartNotified = true;
    if (requestStarted)
        requestStarted(context->info);
}

bool CallerApi::admit(const ContextPtr &context, const Admission::Call &call)
{
    notifyStarted(context);
    const Base::MonoTime now = m_options.loop->clock().now();
    auto admitted = m_options.admission->admit(context->info.workspace, call, now);
    if (!admitted) {
        const Admission::Refusal &refusal = admitted.error();
        Exchange::Refusal answer{.error = Admission::toError(refusal),
                                 .limit = refusal.limit,
                                 .contractLine = refusal.source};
        if (refusal.retryAfter > Base::Duration::zero())
            answer.retryAfter = refusal.retryAfter;
        refuse(context, std::move(answer));
        return false;
    }
    context->ticket = std::move(admitted.value().ticket);
    context->route.priority = admitted.value().priorityLevel;
    context->route.deadline = admitted.value().deadline.value_or(now + defaultDeadline);
    return true;
}

void CallerApi::handleModelCall(const ContextPtr &context)
{
    if (context->request.method != "POST") {
        refuse(context, Errors::makeError(ErrorKind::MethodNotAllowed, "Use POST."));
        return;
    }
    if (!identify(context))
        return;
    auto read = Exchange::readModelCall(context->request);
    const auto deadline = Exchange::readDeadline(context->request.headers);
    if (!read || !deadline) {
        refuse(context, read ? deadline.error() : read.error());
        return;
    }
    Exchange::ModelCall call = std::move(read.value());
    context->info.model = call.model;
    if (!context->objects->model(call.model)) {
        refuse(context, Errors::makeError(ErrorKind::UnknownModel));
        return;
    }
    const std::vector<Base::ModelId> &allowed = context->contract->models;
    if (std::find(allowed.begin(), allowed.end(), call.model) == allowed.end()) {
        refuse(context,
               Exchange::Refusal{.error = Errors::makeError(ErrorKind::ServiceNotAllowed),
                                 .limit = "models",
                                 .contractLine = context->contract->source.locationOf("models")});
        return;
    }
    if (!admit(context,
               {.priority = call.priority,
                .deadline = deadline.value(),
                .estimatedTokens = call.promptTokens + call.maxTokens}))
        return;

    Exchange::RouteQuery &route = context->route;
    route.model = call.model;
    route.hasChat = !call.chat.empty();
    route.chatHash = route.hasChat ? Routing::chatHash(context->info.workspace, call.chat)
                                   : Routing::stableHash(context->info.id.value());
    route.placementToken = std::string(context->request.headers.find("x-placement").value_or(""));
    route.promptTokens = call.promptTokens;
    route.maxTokens = call.maxTokens;
    call.chat = Base::ChatId(Routing::chatName(route.chatHash));
    auto options = exchangeOptions(context);
    options.resumable = true;
    std::make_shared<Exchange::ModelExchange>(std::move(options), std::move(call))->start();
}

void CallerApi::handleServiceCall(const ContextPtr &context)
{
    if (!identify(context))
        return;
    const Http::Request &request = context->request;
    const std::string_view nameAndPath =
        std::string_view(request.path).substr(servicesPrefix.size());
    const std::size_t slash = std::min(nameAndPath.find('/'), nameAndPath.size());
    const Base::ServiceId service{std::string(nameAndPath.substr(0, slash))};
    const Schema::Service *knownService = context->objects->service(service);
    context->info.service = service;
    if (!knownService) {
        refuse(context, Errors::makeError(ErrorKind::UnknownService));
        return;
    }
    Exchange::ServiceCall call{
        .method = request.method,
        .target = slash == nameAndPath.size() ? "/" : std::string(nameAndPath.substr(slash)),
        .body = std::move(context->request.body),
        .contentType = std::string(request.headers.find("content-type").value_or("")),
        .key = context->info.key};
    const bool runsAtMostOnce =
        isNonIdempotent(*context->contract, service, call.method, call.target);
    context->info.idempotent = !runsAtMostOnce;
    const auto deadline = Exchange::readDeadline(request.headers);
    if (!deadline) {
        refuse(context, deadline.error());
        return;
    }
    if (!admit(context,
               {.priority = std::string(request.headers.find("x-priority").value_or("")),
                .deadline = deadline.value(),
                .service = service.value()}))
        return;

    call.target += request.queryPart();

    Exchange::RouteQuery &route = context->route;
    route.service = service;
    route.chatHash = Routing::stableHash(context->info.id.value());
    route.promptTokens = Base::Tokens(static_cast<std::int64_t>(knownService->workPerCall));
    route.idempotent = !runsAtMostOnce;
    if (!runsAtMostOnce || !context->info.key || !claim) {
        runServiceCall(context, std::move(call), false);
        return;
    }
    const ClaimRequest claimRequest{.info = context->info,
                                    .call = Claims::hashCall(call.method, call.target, call.body),
                                    .whenLogIsOut = context->contract->whenLogIsOut,
                                    .deadline = route.deadline};
    claim(claimRequest, [this, context, call = std::move(call)](ClaimResult result) mutable {
        claimed(context, std::move(call), std::move(result));
    });
}

void CallerApi::claimed(const ContextPtr &context, Exchange::ServiceCall call, ClaimResult result)
{
    if (context->responder->isDisconnected()) {
        if (result.kind == ClaimResult::Kind::Run)
            claimFailed(context->info, Ran::No);
        finished(context,
                 {.refusal = Exchange::Refusal{.error = {ErrorKind::CallerLeft, {}, Ran::No}}});
        return;
    }
    switch (result.kind) {
    case ClaimResult::Kind::Run:
        runServiceCall(context, std::move(call), true);
        return;
    case ClaimResult::Kind::Refused:
        refuse(context, std::move(result.refusal));
        return;
    case ClaimResult::Kind::Recorded:
        break;
    }
    Http::Headers headers{{"x-request-id", context->info.id.value()}, {"x-recorded", "yes"}};
    if (!result.answer.contentType.empty())
        headers.add("content-type", result.answer.contentType);
    context->responder->send(result.answer.status, headers, std::move(result.answer.body));
    finished(context, {.succeeded = true, .status = result.answer.status});
}

void CallerApi::runServiceCall(const ContextPtr &context, Exchange::ServiceCall call, bool claimed)
{
    context->isClaimed = claimed;
    Exchange::ServiceExchange::Answered answered;
    if (claimed)
        answered = [this, context](const Exchange::ServiceAnswer &answer) {
            claimAnswered(context->info, answer);
        };
    std::make_shared<Exchange::ServiceExchange>(exchangeOptions(context), std::move(call),
                                                std::move(answered))
        ->start();
}

Exchange::Exchange::Options CallerApi::exchangeOptions(const ContextPtr &context)
{
    return {.loop = m_options.loop,
            .client = m_options.client,
            .hooks = hooks(context),
            .timeouts = timeouts(),
            .request = context->info.id,
            .route = context->route,
            .responder = context->responder};
}

Exchange::Timeouts CallerApi::timeouts() const
{
    const Schema::Policy &policy = m_objects->policy();
    return {.connect = policy.connectTimeout,
            .firstToken = policy.firstByteTimeout,
            .betweenTokens = policy.progressTimeout};
}

Exchange::Hooks CallerApi::hooks(const ContextPtr &context)
{
    return {.place =
                [this](const Exchange::RouteQuery &query,
                       std::function<void(Exchange::Placement)> placed) {
                    return m_options.placer->place(query, std::move(placed));
                },
            .attemptStarted =
                [this, context](const Exchange::Target &target) {
                    m_options.placer->attemptStarted(target);
                    if (attemptStarted)
                        attemptStarted(context->info, target);
                },
            .progressed =
                [this](const Exchange::Target &target, Base::Tokens tokens, bool isFirst) {
                    m_options.placer->attemptProgressed(target, tokens, isFirst);
                },
            .attemptEnded =
                [this, context](const Exchange::AttemptResult &result) {
                    m_options.placer->attemptEnded(result);
                    if (result.succeeded)
                        m_options.retries->noteSuccess(context->info.workspace, result.endpoint,
                                                       m_options.loop->clock().now());
                    if (attemptEnded)
                        attemptEnded(context->info, result);
                },
            .decide =
                [this](const Base::WorkspaceId &workspace, const Base::EndpointId &endpoint,
                       const Retry::AttemptFailure &failure, const Retry::RequestTraits &traits) {
                    return m_options.retries->decide(workspace, endpoint, failure, traits,
                                                     m_options.loop->clock().now());
                },
            .loadReported =
                [this](const Base::EndpointId &endpoint, std::string_view load) {
                    m_options.placer->loadReported(endpoint, load);
                },
            .finished = [this,
                         context](const Exchange::RequestResult &end) { finished(context, end); }};
}

void CallerApi::refuse(const ContextPtr &context, Error error)
{
    refuse(context, Exchange::Refusal{.error = std::move(error)});
}

void CallerApi::refuse(const ContextPtr &context, Exchange::Refusal refusal)
{
    const int status = Errors::errorRow(refusal.error.kind).httpStatus;
    Http::Headers headers = Exchange::refusalHeaders(refusal);
    headers.add("x-request-id", context->info.id.value());
    context->responder->send(status, headers, Exchange::refusalBody(refusal, context->info.id));
    finished(context, {.refusal = std::move(refusal), .status = status});
}

void CallerApi::finished(const ContextPtr &context, const Exchange::RequestResult &end)
{
    notifyStarted(context);
    --m_inFlight;
    const Base::MonoTime now = m_options.loop->clock().now();
    const bool didNotRun = end.refusal && end.refusal->error.ran == Ran::No;
    if (context->ticket.isHeld()) {
        if (didNotRun)
            context->ticket.refund(now);
        else
            context->ticket.settle(end.promptTokens + end.answerTokens, now);
    }
    if (end.succeeded && context->route.hasChat)
        m_options.placer->chatServed(context->route.chatHash, end.endpoint,
                                     end.promptTokens + end.answerTokens);
    if (context->isClaimed && !end.succeeded && claimFailed)
        claimFailed(context->info, end.refusal ? end.refusal->error.ran : Ran::Unknown);
    if (requestEnded)
        requestEnded(context->info, end);
}

} // namespace Lagoonbank::Router
