#include "operations/logoutcomes.h"

#include "claims/claimrecord.h"
#include "timeline/requestid.h"

#include <utility>
#include <variant>

namespace Lagoonbank::Operations {

using Timeline::OutcomeKind;

namespace {

constexpr std::string_view outcomesStream = "outcomes";

OutcomeKind kindOf(Errors::Ran ran)
{
    if (ran == Errors::Ran::Yes)
        return OutcomeKind::Whole;
    return ran == Errors::Ran::No ? OutcomeKind::Refused : OutcomeKind::Unknown;
}

} // namespace

bool RequestQuery::matches(const Timeline::Outcome &outcome) const
{
    if (!request.empty())
        return outcome.request == request;
    return outcome.workspace == workspace && outcome.key == key;
}

bool FoundOutcome::wasReplayed() const
{
    return !isFromClaim && outcome.key && outcome.attempts.empty()
        && outcome.end.kind == OutcomeKind::Whole;
}

std::string sentenceOf(const FoundOutcome &found, Base::WallTime now)
{
    if (found.wasReplayed()) {
        return "The request did not run again: its caller got the recorded answer of an earlier "
               "request with the same key.";
    }
    return Timeline::sentence(found.outcome, Base::toMilliseconds(now.time_since_epoch()));
}

LogOutcomes::LogOutcomes(const Context &context, RequestQuery query)
    : m_query(std::move(query))
    , m_outcomes(context, std::string(outcomesStream))
    , m_claims(context, std::string(Claims::claimsStream))
{
    m_outcomes.setRecordRead(
        [this](const PlatformClient::StoredRecord &record) { outcomeRead(record); });
    m_claims.setRecordRead(
        [this](const PlatformClient::StoredRecord &record) { claimRead(record); });
}

void LogOutcomes::read(ReadFinished done)
{
    m_outcomes.readToEnd([this, done = std::move(done)](const Errors::Result<void> &result) {
        if (!result)
            return done(result);
        m_claims.readToEnd(done);
    });
}

std::vector<FoundOutcome> LogOutcomes::found() const
{
    std::map<Base::RequestId, FoundOutcome> all = m_found;
    all.insert(m_claimed.begin(), m_claimed.end());
    std::vector<FoundOutcome> list;
    list.reserve(all.size());
    for (const auto &[request, found] : all)
        list.push_back(found);
    return list;
}

void LogOutcomes::outcomeRead(const PlatformClient::StoredRecord &record)
{
    const Json json = Json::parse(record.data, nullptr, false);
    if (json.is_discarded())
        return;
    const auto outcome = Timeline::outcomeFromJson(json);
    if (outcome && m_query.matches(outcome.value()))
        m_found[outcome.value().request] = {.outcome = outcome.value(),
                                            .source = "the log's stream outcomes"};
}

void LogOutcomes::claimRead(const PlatformClient::StoredRecord &record)
{
    const auto parsed = Claims::parseRecord(record.data);
    if (!parsed)
        return;
    if (const auto *claim = std::get_if<Claims::Claim>(&parsed.value()))
        return addClaim(*claim, std::nullopt);
    const auto &end = std::get<Claims::ClaimOutcome>(parsed.value());
    addClaim(end.claim, end.outcome);
}

void LogOutcomes::addClaim(const Claims::Claim &claim, const std::optional<Claims::Outcome> &end)
{
    Timeline::Outcome outcome{.request = claim.request,
                              .workspace = claim.key.workspace,
                              .key = claim.key.key,
                              .isModelCall = false,
                              .idempotent = false,
                              .end = {.kind = OutcomeKind::Unknown}};
    if (end) {
        outcome.end.kind = kindOf(end->ran);
        outcome.end.ran = end->ran;
        outcome.end.status = end->status;
    }
    if (!m_query.matches(outcome))
        return;
    FoundOutcome found{
        .outcome = std::move(outcome), .source = "the log's stream claims", .isFromClaim = true};
    if (end)
        m_claimed[claim.request] = std::move(found);
    else
        m_claimed.emplace(claim.request, std::move(found));
}

} // namespace Lagoonbank::Operations
