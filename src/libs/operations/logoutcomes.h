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

/// Names one request, or all requests of one matter.
struct RequestQuery
{
    Base::RequestId request; ///< Empty if the key is given.
    Base::WorkspaceId workspace;
    Base::IdempotencyKey key;

    bool matches(const Timeline::Outcome &outcome) const;
};

/// An outcome and where it was found.
struct FoundOutcome
{
    Timeline::Outcome outcome;
    std::string source;
    bool isFromClaim = false; ///< Told by its claim alone, which does not name the attempts.

    /// The caller got the recorded answer of an earlier request with the same key.
    bool wasReplayed() const;
};

/// One plain sentence for a support engineer.
std::string sentenceOf(const FoundOutcome &found, Base::WallTime now);

/// Looks for outcomes in the log's streams `outcomes` and `claims`.
class LogOutcomes
{
public:
    using ReadFinished = std::function<void(const Errors::Result<void> &result)>;

    LogOutcomes(const Context &context, RequestQuery query);

    /// Reads both streams to their ends.
    void read(ReadFinished done);

    /// One for each request; what the stream `outcomes` says goes before what claims tell.
    std::vector<FoundOutcome> found() const;
    /// Records before this one of the stream `outcomes` were lost by retention.
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
