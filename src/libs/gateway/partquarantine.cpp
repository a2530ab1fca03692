#include "gateway/partquarantine.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::Gateway {

namespace {

Schema::SharedPartTime sharedTime(PartHash part, Base::Duration time)
{
    return {.part = part.value(), .timeMs = static_cast<std::uint32_t>(Base::toMilliseconds(time))};
}

} // namespace

Schema::SharedPartTime toShared(const QuarantinedPart &quarantined)
{
    return sharedTime(quarantined.part, quarantined.remaining);
}

Schema::SharedPartTime toShared(const PartQuestion &question)
{
    return sharedTime(question.part, question.within);
}

Schema::SharedPartTime toShared(const PartBegin &begin)
{
    return sharedTime(begin.part, begin.age);
}

QuarantinedPart quarantinedFromShared(const Schema::SharedPartTime &shared)
{
    return {.part = PartHash(shared.part), .remaining = std::chrono::milliseconds(shared.timeMs)};
}

PartQuestion questionFromShared(const Schema::SharedPartTime &shared)
{
    return {.part = PartHash(shared.part), .within = std::chrono::milliseconds(shared.timeMs)};
}

PartBegin beginFromShared(const Schema::SharedPartTime &shared)
{
    return {.part = PartHash(shared.part), .age = std::chrono::milliseconds(shared.timeMs)};
}

Schema::SharedPartCrash toShared(const PartCrash &crash, Base::MonoTime now)
{
    return {.part = crash.part.value(),
            .depth = static_cast<std::uint16_t>(crash.depth),
            .request = crash.request.value(),
            .endpoint = crash.endpoint,
            .ageMs = static_cast<std::uint32_t>(Base::toMilliseconds(now - crash.at))};
}

PartCrash fromShared(const Schema::SharedPartCrash &shared, Base::MonoTime now)
{
    return {.part = PartHash(shared.part),
            .depth = shared.depth,
            .request = RequestFingerprint(shared.request),
            .endpoint = shared.endpoint,
            .at = now - std::chrono::milliseconds(shared.ageMs)};
}

PartQuarantine::PartQuarantine(Options options)
    : m_options(options)
    , m_evidence(options.evidence)
    , m_history(options.history)
    , m_table({.maxTime = options.quarantineTime, .maxItems = options.maxQuarantined})
{ }

PartQuarantine::~PartQuarantine()
{
    if (m_decisionTimer)
        m_options.timers->cancel(*m_decisionTimer);
}

void PartQuarantine::crashed(const std::vector<PartCrash> &crashes)
{
    for (const PartCrash &crash : crashes)
        record(crash);
    if (!m_decisionTimer)
        investigate();
}

void PartQuarantine::record(const PartCrash &crash)
{
    if (timeLeft(crash.part)) {
        m_evidence.explainCrash(crash.endpoint, crash.at);
        return;
    }
    if (!m_history.hasBegunSince(crash.part, crash.at))
        m_evidence.crashed(crash);
}

/// Asks peers about the suspects, if there are any, and decides after their answers.
void PartQuarantine::investigate()
{
    const std::vector<PartEvidence::Suspect> suspects = m_evidence.suspects(now());
    if (suspects.empty())
        return;
    std::vector<PartQuestion> questions;
    questions.reserve(suspects.size());
    for (const PartEvidence::Suspect &suspect : suspects)
        questions.push_back({.part = suspect.part, .within = now() - suspect.since});
    if (!ask || ask(questions)) {
        for (const PartQuestion &question : questions)
            m_asked.insert(question.part);
    }
    m_decisionTimer = m_options.timers->start(m_options.answerWait, [this] {
        m_decisionTimer.reset();
        decide();
    });
}

void PartQuarantine::decide()
{
    const absl::flat_hash_set<PartHash> asked = std::exchange(m_asked, {});
    for (;;) {
        const std::vector<PartEvidence::Suspect> suspects = m_evidence.suspects(now());
        if (suspects.empty())
            return;
        if (!asked.contains(suspects.front().part)) {
            investigate();
            return;
        }
        quarantine(suspects.front());
    }
}

void PartQuarantine::quarantine(const PartEvidence::Suspect &suspect)
{
    m_evidence.explain(suspect.part);
    m_table.add(suspect.part, m_options.quarantineTime, now());
    if (m_decidedOnCrashesSince.size() >= m_options.maxQuarantined)
        absl::erase_if(m_decidedOnCrashesSince,
                       [this](const auto &entry) { return !timeLeft(entry.first); });
    m_decidedOnCrashesSince[suspect.part] = suspect.since;
    if (decided)
        decided({.part = suspect.part, .remaining = m_options.quarantineTime}, suspect);
}

void PartQuarantine::begun(const std::vector<PartHash> &parts)
{
    for (const PartHash part : parts) {
        m_history.record(part, now());
        m_evidence.begun(part, now());
        m_decidedOnCrashesSince.erase(part);
        if (m_table.remove(part) && released)
            released(part);
    }
}

void PartQuarantine::beginReceived(const PartBegin &begin)
{
    const Base::MonoTime at = now() - begin.age;
    m_history.record(begin.part, at);
    m_evidence.begun(begin.part, at);
    const auto left = timeLeft(begin.part);
    if (!left)
        return;
    const auto decision = m_decidedOnCrashesSince.find(begin.part);
    const bool isOwn = decision != m_decidedOnCrashesSince.end();
    const Base::MonoTime since =
        isOwn ? decision->second : now() - (m_options.quarantineTime - *left);
    if (at < since)
        return;
    m_table.remove(begin.part);
    if (!isOwn)
        return;
    m_decidedOnCrashesSince.erase(decision);
    if (released)
        released(begin.part);
}

std::optional<PartBegin> PartQuarantine::answer(const PartQuestion &question) const
{
    if (!m_history.hasBegunSince(question.part, now() - question.within))
        return std::nullopt;
    return PartBegin{.part = question.part, .age = now() - *m_history.lastBegin(question.part)};
}

std::optional<Base::Duration> PartQuarantine::quarantineReceived(const QuarantinedPart &quarantined)
{
    const Base::Duration remaining = std::min(quarantined.remaining, m_options.quarantineTime);
    const Base::MonoTime startedAt = now() - (m_options.quarantineTime - remaining);
    if (m_history.hasBegunSince(quarantined.part, startedAt))
        return std::nullopt;
    if (!m_table.add(quarantined.part, remaining, now()))
        return std::nullopt;
    m_evidence.explain(quarantined.part);
    return remaining;
}

std::optional<Base::Duration> PartQuarantine::timeLeft(PartHash part) const
{
    return m_table.timeLeft(part, now());
}

std::vector<QuarantinedPart> PartQuarantine::quarantined() const
{
    std::vector<QuarantinedPart> all;
    for (const auto &[part, remaining] : m_table.items(now()))
        all.push_back({.part = part, .remaining = remaining});
    return all;
}

} // namespace Lagoonbank::Gateway
