#include "experiment/reconciliation.h"

#include "experiment/textparts.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <map>

namespace Lagoonbank::Experiment {

namespace {

using Internal::joined;

constexpr std::string_view stateWhole = "whole";
constexpr std::string_view ranNo = "no";
constexpr std::string_view ranYes = "yes";

struct Run
{
    const Ledger *ledger = nullptr;
    const LedgerEntry *entry = nullptr;
};

bool hasStarted(const LedgerEntry &entry)
{
    return entry.startedMs > 0;
}

/// Runs found in the ledgers, by request id and by idempotency key. Entries that never started are
/// not included.
class RunIndex
{
public:
    explicit RunIndex(const std::vector<Ledger> &ledgers)
    {
        for (const Ledger &ledger : ledgers) {
            if (!ledger.isComplete)
                m_incompleteEndpoints.insert(ledger.endpoint);
            for (const LedgerEntry &entry : ledger.entries)
                add(ledger, entry);
        }
    }

    const std::vector<Run> &byRequest(const std::string &requestId) const
    {
        return find(m_byRequest, requestId);
    }
    const std::vector<Run> &byKey(const std::string &key) const { return find(m_byKey, key); }
    bool hasIncompleteLedger(const std::string &endpoint) const
    {
        return m_incompleteEndpoints.contains(endpoint);
    }
    bool hasAnyIncompleteLedger() const { return !m_incompleteEndpoints.empty(); }

private:
    using Map = absl::flat_hash_map<std::string, std::vector<Run>>;

    void add(const Ledger &ledger, const LedgerEntry &entry)
    {
        if (!hasStarted(entry))
            return;
        m_byRequest[entry.requestId].push_back({&ledger, &entry});
        if (!entry.key.empty())
            m_byKey[entry.key].push_back({&ledger, &entry});
    }

    static const std::vector<Run> &find(const Map &map, const std::string &id)
    {
        static const std::vector<Run> none;
        const auto found = map.find(id);
        return found == map.end() || id.empty() ? none : found->second;
    }

    Map m_byRequest;
    Map m_byKey;
    absl::flat_hash_set<std::string> m_incompleteEndpoints;
};

bool hasCompletedRun(const std::vector<Run> &runs)
{
    return std::any_of(runs.begin(), runs.end(),
                       [](const Run &run) { return run.entry->state == stateWhole; });
}

class Comparison
{
public:
    explicit Comparison(const Evidence &evidence)
        : m_evidence(evidence)
        , m_runs(evidence.ledgers)
    { }

    Reconciliation run()
    {
        const bool hasLedgers = !m_evidence.ledgers.empty();
        if (!m_evidence.callers.empty()) {
            countBreaches(Guarantee::CrossedAnswers, &Comparison::compareCrossed);
            countBreaches(Guarantee::CutAnswers, &Comparison::compareCut);
        }
        if (hasLedgers && !m_evidence.callers.empty()) {
            countBreaches(Guarantee::RefusedButRan, &Comparison::compareRefused);
            countBreaches(Guarantee::RanTwice, &Comparison::compareRanTwice);
            countBreaches(Guarantee::LostAccepted, &Comparison::compareLost);
        }
        if (hasLedgers && !m_evidence.drains.empty())
            countBreaches(Guarantee::SentToLeaving, &Comparison::compareLeaving);
        if (!m_evidence.revisions.empty())
            countBreaches(Guarantee::ConfigReverted, &Comparison::compareRevisions);
        return std::move(m_result);
    }

private:
    void countBreaches(Guarantee guarantee, void (Comparison::*compare)())
    {
        m_guarantee = guarantee;
        m_result.breachCounts.at(static_cast<std::size_t>(guarantee)) = 0;
        (this->*compare)();
    }

    void addBreach(const std::string &requestId, std::string detail)
    {
        ++*m_result.breachCounts.at(static_cast<std::size_t>(m_guarantee));
        m_result.findings.push_back({m_guarantee, requestId, std::move(detail)});
    }

    void compareCrossed()
    {
        for (const CallerRecord &caller : m_evidence.callers) {
            if (caller.check == AnswerCheck::Foreign)
                addBreach(caller.requestId, "the answer is not this request's");
        }
    }

    void compareCut()
    {
        for (const CallerRecord &caller : m_evidence.callers) {
            if (caller.outcome != CallerOutcome::Whole)
                continue;
            if (caller.check == AnswerCheck::Cut)
                addBreach(caller.requestId,
                          "the answer ended as whole but has gaps or lacks tokens");
            else if (caller.isModelCall && isShorterThanRun(caller))
                addBreach(caller.requestId, "the answer has fewer tokens than the engine made");
        }
    }

    bool isShorterThanRun(const CallerRecord &caller) const
    {
        const std::vector<Run> &runs = m_runs.byRequest(caller.requestId);
        return std::any_of(runs.begin(), runs.end(), [&](const Run &run) {
            return run.entry->state == stateWhole && run.entry->tokens
                && caller.tokens < *run.entry->tokens;
        });
    }

    void compareRefused()
    {
        absl::flat_hash_set<std::string> seen;
        for (const CallerRecord &caller : m_evidence.callers) {
            if (caller.outcome == CallerOutcome::Refused)
                checkRefused(caller.requestId, "caller", seen);
        }
        for (const OutcomeRecord &outcome : m_evidence.outcomes) {
            if (outcome.ran == ranNo)
                checkRefused(outcome.requestId, "router", seen);
        }
    }

    void checkRefused(const std::string &requestId, std::string_view source,
                      absl::flat_hash_set<std::string> &seen)
    {
        const std::vector<Run> &runs = m_runs.byRequest(requestId);
        if (runs.empty() || !seen.insert(requestId).second)
            return;
        addBreach(
            requestId,
            joined("refused as not run (", source, ") but ran on ", runs.front().ledger->endpoint));
    }

    void compareRanTwice()
    {
        absl::flat_hash_set<std::string> seenKeys;
        absl::flat_hash_set<std::string> seenRequests;
        for (const CallerRecord &caller : m_evidence.callers) {
            if (caller.isIdempotent)
                continue;
            const auto byRequest = m_runs.byRequest(caller.requestId).size();
            const auto byKey = m_runs.byKey(caller.key).size();
            const bool isNew = caller.key.empty() ? seenRequests.insert(caller.requestId).second
                                                  : seenKeys.insert(caller.key).second;
            if (isNew && std::max(byRequest, byKey) > 1)
                addBreach(
                    caller.requestId,
                    joined("ran ", std::max(byRequest, byKey), " times, key '", caller.key, "'"));
        }
    }

    void compareLost()
    {
        absl::flat_hash_set<std::string> seen;
        for (const CallerRecord &caller : m_evidence.callers) {
            if (caller.outcome != CallerOutcome::Whole)
                continue;
            seen.insert(caller.requestId);
            checkLost(caller.requestId, caller.key, caller.endpoint);
        }
        for (const OutcomeRecord &outcome : m_evidence.outcomes) {
            const bool isReportedWhole = outcome.outcome == stateWhole && outcome.ran == ranYes;
            if (isReportedWhole && !outcome.endpoint.empty()
                && seen.insert(outcome.requestId).second)
                checkLost(outcome.requestId, {}, outcome.endpoint);
        }
    }

    void checkLost(const std::string &requestId, const std::string &key,
                   const std::string &endpoint)
    {
        if (hasCompletedRun(m_runs.byRequest(requestId)) || hasCompletedRun(m_runs.byKey(key)))
            return;
        if (endpoint.empty() ? m_runs.hasAnyIncompleteLedger()
                             : m_runs.hasIncompleteLedger(endpoint)) {
            ++m_result.unreconciled;
            return;
        }
        addBreach(
            requestId,
            joined("answered as whole but no endpoint ran it whole, endpoint '", endpoint, "'"));
    }

    void compareLeaving()
    {
        for (const DrainPeriod &drain : m_evidence.drains) {
            for (const Ledger &ledger : m_evidence.ledgers) {
                if (ledger.endpoint == drain.endpoint)
                    compareLeaving(drain, ledger);
            }
        }
    }

    void compareLeaving(const DrainPeriod &drain, const Ledger &ledger)
    {
        for (const LedgerEntry &entry : ledger.entries) {
            const std::int64_t after = entry.startedMs - drain.acceptedMs;
            const bool isAfterDrain = drain.endedMs && entry.startedMs >= *drain.endedMs;
            if (hasStarted(entry) && after > drainGraceMs && !isAfterDrain)
                addBreach(entry.requestId,
                          joined("started on ", drain.endpoint, " ", after, " ms after its drain"));
        }
    }

    void compareRevisions()
    {
        std::map<std::pair<std::string, std::string>, std::int64_t> highest;
        for (const RevisionSample &sample : m_evidence.revisions) {
            std::int64_t &last = highest[{sample.router, sample.object}];
            if (sample.revision < last)
                addBreach({},
                          joined(sample.router, " went from revision ", last, " of ", sample.object,
                                 " back to ", sample.revision));
            last = sample.revision;
        }
    }

    const Evidence &m_evidence;
    RunIndex m_runs;
    Reconciliation m_result;
    Guarantee m_guarantee = Guarantee::CrossedAnswers;
};

} // namespace

std::string_view toString(Guarantee guarantee)
{
    switch (guarantee) {
    case Guarantee::CrossedAnswers:
        return "crossed_answers";
    case Guarantee::CutAnswers:
        return "cut_answers";
    case Guarantee::RefusedButRan:
        return "refused_but_ran";
    case Guarantee::RanTwice:
        return "ran_twice";
    case Guarantee::LostAccepted:
        return "lost_accepted";
    case Guarantee::SentToLeaving:
        return "sent_to_leaving";
    case Guarantee::ConfigReverted:
        break;
    }
    return "config_reverted";
}

Reconciliation reconcile(const Evidence &evidence)
{
    return Comparison(evidence).run();
}

CacheReuse measureCacheReuse(const Evidence &evidence, std::int64_t blockTokens)
{
    absl::flat_hash_map<std::string, const LedgerEntry *> whole;
    for (const Ledger &ledger : evidence.ledgers) {
        for (const LedgerEntry &entry : ledger.entries) {
            if (entry.promptTokens && entry.state == stateWhole)
                whole[entry.requestId] = &entry;
        }
    }
    absl::flat_hash_map<std::string, std::map<int, const CallerRecord *>> chats;
    for (const CallerRecord &caller : evidence.callers) {
        if (!caller.chat.empty() && caller.outcome == CallerOutcome::Whole)
            chats[caller.chat][caller.turn] = &caller;
    }

    CacheReuse reuse;
    reuse.isMeasured = !whole.empty();
    const std::int64_t block = std::max<std::int64_t>(blockTokens, 1);
    for (const auto &[chat, turns] : chats) {
        const LedgerEntry *previous = nullptr;
        for (const auto &[turn, caller] : turns) {
            const auto entry = whole.find(caller->requestId);
            if (entry == whole.end())
                continue;
            if (previous && caller->isMeasured) {
                const std::int64_t cached = entry->second->cachedTokens.value_or(0);
                const std::int64_t needed = *previous->promptTokens / block * block;
                ++reuse.returning;
                reuse.landedOnCached += cached >= needed ? 1 : 0;
                reuse.cachedTokens += std::min(cached, *previous->promptTokens);
                reuse.previousTokens += *previous->promptTokens;
            }
            previous = entry->second;
        }
    }
    return reuse;
}

} // namespace Lagoonbank::Experiment
