#pragma once

#include "claims/claim.h"
#include "operations/streamreader.h"
#include "timeline/outcome.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lagoonbank::Operations {

/// Selects one request, or all requests of one workspace with the same idempotency key.
struct RequestQuery
{
    Base::RequestId request; ///< Empty if the workspace and key are given.
    Base::WorkspaceId workspace;
    Base::IdempotencyKey key;

    bool matches(const Timeline::Outcome &outcome) const;
};

/// An outcome and the source that it was read from.
struct FoundOutcome
{
    Timeline::Outcome outcome;
    std::string source;
    bool isFromClaim = false; ///< Known from its claim only, which has no attempts.

    /// Whether the caller got the recorded answer of an earlier request with the same key.
    bool wasReplayed() const;
};

/// Describes the outcome in one sentence for support engineers.
std::string sentenceOf(const FoundOutcome &found, Base::WallTime now);

/// Finds outcomes in the log's streams `outcomes` and `claims`.
class LogOutcomes
{
public:
    using ReadFinished = std::function<void(const Errors::Result<void> &result)>;

    LogOutcomes(const Context &context, RequestQuery query);

    /// Reads both streams to their ends.
    void read(ReadFinished done);

    /// One outcome per request. Records of the stream `outcomes` take precedence over claims.
    std::vector<FoundOutcome> found() const;
    /// Offset of the first record still in the stream `outcomes`; retention removed earlier ones.
    Base::LogOffset firstOutcome() const { return m_outcomes.first(); }

private:
    void outcomeRead(const PlatformClient::StoredRecord &record);
    void claimRead(const PlatformClient::StoredRecord &record);
    void addClaim(const Claims::Claim &claim, const std::optional<Claims::Outcome> &end);

    RequestQuery m_query;
    StreamReader m_outcomes;
    StreamReader m_claims;
    std::map<Base::RequestId, FoundOutcome> m_found;
    std::map<Base::RequestId, FoundOutcome> m_claimed;
};

} // namespace Lagoonbank::Operations
