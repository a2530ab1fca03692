#include "router/claimcoordinator.h"

#include "claims/claimrecord.h"

#include <utility>

namespace Lagoonbank::Router {

namespace {

/// How long claims and outcomes are collected before they are appended as one batch.
constexpr Base::Duration appendBatchInterval = std::chrono::milliseconds(5);
/// Maximum time that a claim waits for the log, even if the call's deadline is later.
constexpr Base::Duration maxClaimTimeout = std::chrono::seconds(5);
/// Retry-After value for refused claims that can be retried, such as while an earlier call with the
/// same key is running.
constexpr Base::Duration refusedClaimRetryAfter = std::chrono::seconds(1);

Claims::LogOutPolicy toLogOutPolicy(Schema::LogOutPolicy policy)
{
    return policy == Schema::LogOutPolicy::Local ? Claims::LogOutPolicy::LocalOnly
                                                 : Claims::LogOutPolicy::Refuse;
}

} // namespace

ClaimCoordinator::ClaimCoordinator(const Options &options)
    : m_options(options)
    , m_appender({.log = options.log,
                  .timers = &options.loop->timers(),
                  .stream = std::string(Claims::claimsStream),
                  .interval = appendBatchInterval,
                  .backoff = options.backoff})
    , m_claimer({.timers = &options.loop->timers(),
                 .append =
                     [this](PlatformClient::Record record,
                            std::function<void(PlatformClient::AppendOutcome)> appended) {
                         return m_appender.add(std::move(record), std::move(appended));
                     },
                 .isGone = options.isGone,
                 .backoff = options.backoff})
    , m_tailer({.log = options.log,
                .timers = &options.loop->timers(),
                .stream = std::string(Claims::claimsStream),
                .backoff = options.backoff})
{
    const auto updateLogUsable = [this] {
        m_claimer.setLogUsable(m_tailer.health().isUp && m_tailer.isCaughtUp());
    };
    m_tailer.setRecordReceived(
        [this](const PlatformClient::StoredRecord &record) { m_claimer.recordReceived(record); });
    m_tailer.setHealthChanged(
        [updateLogUsable](const PlatformClient::LogHealth &) { updateLogUsable(); });
    m_tailer.setCaughtUp(updateLogUsable);
}

void ClaimCoordinator::start()
{
    m_tailer.start();
}

Claims::Claim ClaimCoordinator::makeClaim(const ClaimRequest &request) const
{
    return {.key = {request.info.workspace, *request.info.key},
            .request = request.info.id,
            .router = m_options.run,
            .call = request.call};
}

ClaimResult ClaimCoordinator::toClaimResult(const Claims::Decision &decision)
{
    using Claims::Verdict;
    switch (decision.verdict) {
    case Verdict::Granted:
    case Verdict::GrantedLocally:
        return {.kind = ClaimResult::Kind::Run};
    case Verdict::Ended:
        if (decision.outcome.ran == Errors::Ran::Yes && decision.outcome.isBodyKept)
            return {.kind = ClaimResult::Kind::Recorded,
                    .answer = {.status = decision.outcome.status,
                               .contentType = decision.outcome.contentType,
                               .body = decision.outcome.body}};
        break;
    case Verdict::Running:
    case Verdict::Unknown:
    case Verdict::KeyReused:
    case Verdict::Unavailable:
        break;
    }
    Exchange::Refusal refusal;
    refusal.error = Errors::makeError(Claims::errorKind(decision.verdict));
    if (!decision.holder.empty())
        refusal.error.detail = "The earlier call is " + decision.holder.value() + ".";
    if (Errors::errorRow(refusal.error.kind).retryable)
        refusal.retryAfter = refusedClaimRetryAfter;
    return {.kind = ClaimResult::Kind::Refused, .refusal = std::move(refusal)};
}

void ClaimCoordinator::claim(const ClaimRequest &request, std::function<void(ClaimResult)> claimed)
{
    const Claims::Claim claim = makeClaim(request);
    const Base::Duration remaining = request.deadline - m_options.loop->clock().now();
    m_claimer.claim(claim, toLogOutPolicy(request.whenLogIsOut),
                    std::min(remaining, maxClaimTimeout),
                    [this, claim, claimed = std::move(claimed)](const Claims::Decision &decision) {
                        ClaimResult result = toClaimResult(decision);
                        if (result.kind == ClaimResult::Kind::Run)
                            m_granted.emplace(claim.request, claim);
                        claimed(std::move(result));
                    });
}

void ClaimCoordinator::finish(const RequestInfo &info, Claims::Outcome outcome)
{
    const auto found = m_granted.find(info.id);
    if (found == m_granted.end())
        return;
    m_claimer.finish(found->second, std::move(outcome));
    m_granted.erase(found);
}

void ClaimCoordinator::answered(const RequestInfo &info, const Exchange::ServiceAnswer &answer)
{
    finish(info,
           {.ran = Errors::Ran::Yes,
            .status = answer.status,
            .contentType = answer.contentType,
            .body = answer.body});
}

void ClaimCoordinator::failed(const RequestInfo &info, Errors::Ran ran)
{
    finish(info, {.ran = ran});
}

} // namespace Lagoonbank::Router
