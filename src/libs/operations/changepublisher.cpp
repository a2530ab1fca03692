#include "operations/changepublisher.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Lagoonbank::Operations {

using Configuration::ChangeResult;
using Configuration::Verdict;

namespace {

constexpr std::array<std::string_view, 5> stateNames{"accepted", "unchanged", "rejected", "unknown",
                                                     "not_sent"};
constexpr std::size_t maxBatchRecords = 100;
constexpr std::size_t maxBatchBytes = 256 * 1024;

PlatformClient::Record toRecord(const std::string &id, const Configuration::ChangeRecord &change)
{
    return {.id = id, .data = Configuration::encode(change)};
}

} // namespace

std::string_view toString(ChangeState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

ChangePublisher::ChangePublisher(const Context &context, ConfigurationLog &log)
    : m_context(context)
    , m_log(log)
    , m_retryPolicy(context)
{ }

ChangePublisher::~ChangePublisher()
{
    m_context.timers->cancel(m_timer);
}

void ChangePublisher::addObject(const Schema::ConfigurationObject &object,
                                std::optional<Base::Revision> baseRevision)
{
    const Base::Revision current = m_log.reducer().state().revision(Configuration::keyOf(object));
    Change change{.record = Configuration::makeChange(object, baseRevision.value_or(current),
                                                      m_context.operatorName),
                  .object = object};
    add(std::move(change), baseRevision);
}

void ChangePublisher::addRemoval(const Configuration::ObjectKey &key,
                                 std::optional<Base::Revision> baseRevision)
{
    Change change;
    change.record.key = key;
    change.record.base = baseRevision.value_or(m_log.reducer().state().revision(key));
    change.record.publisher = m_context.operatorName;
    change.record.removes = true;
    add(std::move(change), baseRevision);
}

void ChangePublisher::add(Change change, std::optional<Base::Revision> baseRevision)
{
    change.outcome.key = change.record.key;
    const Schema::ObjectState *entry = m_log.entry(change.record.key);
    if (entry) {
        change.outcome.revision = entry->revision;
        change.outcome.offset = entry->offset;
    }
    if (isInForce(change)) {
        change.outcome.state = ChangeState::Unchanged;
        change.isSettled = true;
    } else if (baseRevision && *baseRevision != change.outcome.revision) {
        rejectStale(change,
                    absl::StrCat("based on revision ", baseRevision->value(), ", but revision ",
                                 change.outcome.revision.value(), " is current"));
    } else {
        change.outcome.recordId = absl::StrCat("ctl:", m_context.operatorName, ":",
                                               m_context.invocation, ":", m_changes.size() + 1);
        change.record.time = nextTimestamp();
    }
    m_changes.push_back(std::move(change));
}

/// Returns a hybrid time after those of all changes read from the log, even if this machine's clock
/// is behind.
std::string ChangePublisher::nextTimestamp()
{
    const Base::WallTime wall = m_context.timers->clock().wallNow();
    for (const ChangeResult &result : m_log.reducer().changeResults()) {
        if (const auto time = Timeline::parseHybridTime(result.time))
            m_clock.received(*time, wall);
    }
    return Timeline::toString(m_clock.tick(wall));
}

void ChangePublisher::rejectStale(Change &change, const std::string &why) const
{
    change.outcome.state = ChangeState::Rejected;
    change.outcome.detail = why;
    change.isSettled = true;
    if (const Schema::ObjectState *entry = m_log.entry(change.record.key)) {
        absl::StrAppend(&change.outcome.detail, "; the change by ", entry->publisher,
                        " was accepted first (", entry->recordId, ")");
    }
}

bool ChangePublisher::isInForce(const Change &change) const
{
    const Schema::ConfigurationObject *object = m_log.objects().find(change.record.key);
    if (change.record.removes)
        return !object && m_log.entry(change.record.key);
    return object && *object == *change.object;
}

void ChangePublisher::start(Done done)
{
    m_done = std::move(done);
    m_retryPolicy.restart();
    sendNext();
}

std::vector<ChangePublisher::Change *> ChangePublisher::batch()
{
    std::vector<Change *> batch;
    std::size_t bytes = 0;
    for (Change &change : m_changes) {
        if (change.isSettled)
            continue;
        bytes += change.record.body.size();
        if (!batch.empty() && (batch.size() >= maxBatchRecords || bytes > maxBatchBytes))
            break;
        batch.push_back(&change);
    }
    return batch;
}

void ChangePublisher::sendNext()
{
    std::vector<PlatformClient::Record> records;
    for (Change *change : batch())
        records.push_back(toRecord(change->outcome.recordId, change->record));
    if (records.empty())
        return finish();
    m_context.log->append(
        std::string(Configuration::streamName), records,
        [this](const PlatformClient::AppendResult &result) { appendFinished(result); });
}

void ChangePublisher::appendFinished(const PlatformClient::AppendResult &result)
{
    const std::vector<Change *> sent = batch();
    bool mayBeInLog = false;
    for (std::size_t i = 0; i < sent.size(); ++i) {
        if (result.outcomes[i].state != PlatformClient::AppendState::NotAppended)
            sent[i]->mayHaveBeenSent = true;
        mayBeInLog = mayBeInLog || sent[i]->mayHaveBeenSent;
    }
    if (mayBeInLog)
        return readBack();
    retryOrFinish();
}

void ChangePublisher::readBack()
{
    m_log.read([this](const Errors::Result<void> &result) {
        if (!result)
            return retryOrFinish();
        settleSentChanges();
    });
}

void ChangePublisher::settleSentChanges()
{
    bool hasProgress = false;
    for (Change &change : m_changes) {
        if (!change.isSettled && change.mayHaveBeenSent && settle(change))
            hasProgress = true;
    }
    if (!hasProgress)
        return retryOrFinish();
    m_retryPolicy.restart();
    sendNext();
}

bool ChangePublisher::settle(Change &change) const
{
    const ChangeResult *result = m_log.reducer().findChangeResult(change.outcome.recordId);
    if (!result)
        return false;
    change.isSettled = true;
    change.outcome.revision = result->revision;
    change.outcome.offset = result->offset;
    if (result->verdict == Verdict::Accepted) {
        change.outcome.state = ChangeState::Accepted;
    } else if (result->verdict == Verdict::Stale && isInForce(change)) {
        change.outcome.state = ChangeState::Unchanged;
        change.outcome.detail = absl::StrCat(result->winner, " published the same change first");
    } else if (result->verdict == Verdict::Stale) {
        rejectStale(change, result->detail);
    } else {
        change.outcome.state = ChangeState::Rejected;
        change.outcome.detail = result->detail;
    }
    return true;
}

void ChangePublisher::retryOrFinish()
{
    const std::optional<Base::Duration> delay = m_retryPolicy.nextDelay();
    if (!delay)
        return finish();
    m_timer = m_context.timers->start(*delay, [this] { sendNext(); });
}

void ChangePublisher::finish()
{
    const Done done = std::exchange(m_done, nullptr);
    done();
}

std::vector<ChangeOutcome> ChangePublisher::outcomes() const
{
    std::vector<ChangeOutcome> outcomes;
    for (const Change &change : m_changes) {
        outcomes.push_back(change.outcome);
        if (!change.isSettled && change.mayHaveBeenSent)
            outcomes.back().state = ChangeState::Unknown;
    }
    return outcomes;
}

} // namespace Lagoonbank::Operations
