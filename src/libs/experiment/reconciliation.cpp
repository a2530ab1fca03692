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

/// Everything that ran, by request and by idempotency key.
class RunIndex
{
public:
    explicit RunIndex(const std::vector<Ledger> &ledgers)
    {
        for (const Ledger &ledger : ledgers) {
            if (!ledger.isWhole)
                m_partial.insert(ledger.endpoint);
            for (const LedgerEntry &entry : ledger.entries)
                add(ledger, entry);
        }
    }

    const std::vector<Run> &byRequest(const std::string &requestId) const
    {
        return find(m_byRequest, requestId);
    }
    const std::vector<Run> &byKey(const std::string &key) const { return find(m_byKey, key); }
    bool isPartial(const std::string &endpoint) const { return m_partial.contains(endpoint); }
    bool hasPartial() const { return !m_partial.empty(); }

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
    absl::flat_hash_set<std::string> m_partial;
};

bool hasWhole(const std::vector<Run> &runs)
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
            measure(Promise::CrossedAnswers, &Comparison::compareCrossed);
            measure(Promise::CutAnswers, &Comparison::compareCut);
        }
        if (hasLedgers && !m_evidence.callers.empty()) {
            measure(Promise::RefusedButRan, &Comparison::compareRefused);
            measure(Promise::RanTwice, &Comparison::compareRanTwice);
            measure(Promise::LostAccepted, &Comparison::compareLost);
        }
        if (hasLedgers && !m_evidence.drains.empty())
            measure(Promise::SentToLeaving, &Comparison::compareLeaving);
        if (!m_evidence.revisions.empty())
            measure(Promise::ConfigReverted, &Comparison::compareRevisions);
        return std::move(m_result);
    }

private:
    void measure(Promise promise, void (Comparison::*compare)())
    {
        m_promise = promise;
        m_result.counts.at(static_cast<std::size_t>(promise)) = 0;
        (this->*compare)();
    }

    void found(const std::string &requestId, std::string detail)
    {
        ++*m_result.counts.at(static_cast<std::size_t>(m_promise));
        m_result.findings.push_back({m_promise, requestId, std::move(detail)});
    }

    void compareCrossed()
    {
        for (const CallerRecord &caller : m_evidence.callers) {
            if (caller.check == AnswerCheck::Foreign)
                found(caller.requestId, "the answer is not this request's");
        }
    }

    void compareCut()
    {
        for (const CallerRecord &caller : m_evidence.callers) {
            if (caller.view != CallerView::Whole)
                continue;
            if (caller.check == AnswerCheck::Cut)
                found(caller.requestId, "the answer ended as whole but has gaps or lacks tokens");
            else if (caller.isModelCall && isShorterThanRun(caller))
                found(caller.requestId, "the answer has fewer tokens than the engine made");
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
            if (caller.view == CallerView::Refused)
                checkRefused(caller.requestId, "caller", seen);
        }
        for (const OutcomeRecord &outcome : m_evidence.outcomes) {
            if (outcome.ran == ranNo)
                checkRefused(outcome.requestId, "router", seen);
        }
    }

    void checkRefused(const std::string &requestId, std::string_view who,
                      absl::flat_hash_set<std::string> &seen)
    {
        const std::vector<Run> &runs = m_runs.byRequest(requestId);
        if (runs.empty() || !seen.insert(requestId).second)
            return;
        found(requestId,
              joined("refused as not run (", who, ") but ran on ", runs.front().ledger->endpoint));
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
                found(caller.requestId,
                      joined("ran ", std::max(byRequest, byKey), " times, key '", caller.key, "'"));
        }
    }

    void compareLost()
    {
        absl::flat_hash_set<std::string> seen;
        for (const CallerRecord &caller : m_evidence.callers) {
            if (caller.view != CallerView::Whole)
                continue;
            seen.insert(caller.requestId);
            checkLost(caller.requestId, caller.key, caller.endpoint);
        }
        for (const OutcomeRecord &outcome : m_evidence.outcomes) {
            const bool says = outcome.outcome == stateWhole && outcome.ran == ranYes;
            if (says && !outcome.endpoint.empty() && seen.insert(outcome.requestId).second)
                checkLost(outcome.requestId, {}, outcome.endpoint);
        }
    }

    void checkLost(const std::string &requestId, const std::string &key,
                   const std::string &endpoint)
    {
        if (hasWhole(m_runs.byRequest(requestId)) || hasWhole(m_runs.byKey(key)))
            return;
        if (endpoint.empty() ? m_runs.hasPartial() : m_runs.isPartial(endpoint)) {
            ++m_result.unreconciled;
            return;
        }
        found(requestId,
              joined("answered as whole but no endpoint ran it whole, endpoint '", endpoint, "'"));
    }

    void compareLeaving()
    {
        for (const DrainMark &drain : m_evidence.drains) {
            for (const Ledger &ledger : m_evidence.ledgers) {
                if (ledger.endpoint == drain.endpoint)
                    compareLeaving(drain, ledger);
            }
        }
    }

    void compareLeaving(const DrainMark &drain, const Ledger &ledger)
    {
        for (const LedgerEntry &entry : ledger.entries) {
            const std::int64_t after = entry.startedMs - drain.acceptedMs;
            const bool isBack = drain.endedMs && entry.startedMs >= *drain.endedMs;
            if (hasStarted(entry) && after > drainGraceMs && !isBack)
                found(entry.requestId,
                      joined("started on ", drain.endpoint, " ", after, " ms after its drain"));
        }
    }

    void compareRevisions()
    {
        std::map<std::pair<std::string, std::string>, std::int64_t> highest;
        for (const RevisionSample &sample : m_evidence.revisions) {
            std::int64_t &last = highest[{sample.router, sample.object}];
            if (sample.revision < last)
                found({},
                      joined(sample.router, " went from revision ", last, " of ", sample.object,
                             " back to ", sample.revision));
            last = sample.revision;
        }
    }

    const Evidence &m_evidence;
    RunIndex m_runs;
    Reconciliation m_result;
    Promise m_promise = Promise::CrossedAnswers;
};

} // namespace

std::string_view toString(Promise promise)
{
    switch (promise) {
    case Promise::CrossedAnswers:
        return "crossed_answers";
    case Promise::CutAnswers:
        return "cut_answers";
    case Promise::RefusedButRan:
        return "refused_but_ran";
    case Promise::RanTwice:
        return "ran_twice";
    case Promise::LostAccepted:
        return "lost_accepted";
    case Promise::SentToLeaving:
        return "sent_to_leaving";
    case Promise::ConfigReverted:
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
        if (!caller.chat.empty() && caller.view == CallerView::Whole)
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
            if (previous && caller->counts) {
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
