#include "configuration/reducer.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Lagoonbank::Configuration {

namespace {

constexpr std::size_t maxRecordIdBytes = 256;
constexpr Base::LogOffset oneRecord(1);

constexpr std::array<std::string_view, 8> eventNames{
    "record_skipped",   "gap_found",      "gap_closed",     "snapshot_seen",
    "snapshot_refused", "state_imported", "import_refused", "state_differs"};

Errors::Result<Record> decodeRecord(const LogRecord &record)
{
    if (record.id.empty() || record.id.size() > maxRecordIdBytes) {
        return Errors::makeError(Errors::ErrorKind::BadMessage,
                                 "the record's id is empty or too long");
    }
    Errors::Result<Record> decoded = decode(record.data);
    const auto *part = decoded ? std::get_if<SnapshotPart>(&decoded.value()) : nullptr;
    if (part && part->through > record.offset) {
        return Errors::makeError(Errors::ErrorKind::BadMessage,
                                 "the snapshot takes in records that come after it");
    }
    return decoded;
}

} // namespace

std::string_view toString(EventKind kind)
{
    return eventNames.at(static_cast<std::size_t>(kind));
}

std::ostream &operator<<(std::ostream &stream, EventKind kind)
{
    return stream << toString(kind);
}

Reducer::Reducer(const Options &options)
    : m_options(options)
{ }

void Reducer::recordRead(const LogRecord &record)
{
    if (record.offset < m_readNext) {
        noteCoveredRecord(record);
        return;
    }
    consume(record);
    applyOutOfOrder();
}

/// Handles a record that an imported peer state already covers. A snapshot is still reported, or
/// this process would assume that the log contains none.
void Reducer::noteCoveredRecord(const LogRecord &record)
{
    const auto decoded = decode(record.data);
    if (!decoded)
        return;
    const auto *part = std::get_if<SnapshotPart>(&decoded.value());
    if (!part)
        return;
    const std::optional<Snapshot> snapshot = m_coveredSnapshots.add(*part);
    if (snapshot)
        raise(EventKind::SnapshotSeen, record.offset, snapshot->id);
}

void Reducer::recordFromPeer(const LogRecord &record)
{
    if (record.offset < m_readNext)
        return;
    m_outOfOrder.emplace(record.offset, record);
    if (m_outOfOrder.size() > m_options.maxOutOfOrderRecords)
        m_outOfOrder.erase(std::prev(m_outOfOrder.end()));
    applyOutOfOrder();
}

void Reducer::applyOutOfOrder()
{
    while (!m_outOfOrder.empty() && m_outOfOrder.begin()->first <= m_readNext) {
        const LogRecord record = std::move(m_outOfOrder.begin()->second);
        m_outOfOrder.erase(m_outOfOrder.begin());
        if (record.offset == m_readNext)
            consume(record);
    }
}

void Reducer::gapFound(Base::LogOffset first)
{
    if (first <= m_readNext)
        return;
    raise(EventKind::GapFound, first,
          "records from " + std::to_string(m_readNext.value()) + " on are gone");
    m_hasGap = true;
    m_buffered.clear();
    m_snapshots.clear();
    m_bufferedFrom = first;
    m_readNext = first;
    applyOutOfOrder();
}

void Reducer::endReached()
{
    if (!m_hasGap)
        m_isComplete = true;
    updateReady();
}

void Reducer::consume(const LogRecord &record)
{
    m_readNext = record.offset + oneRecord;
    if (m_hasGap) {
        bufferAfterGap(record);
        return;
    }
    m_next = m_readNext;
    apply(record);
    updateReady();
}

void Reducer::bufferAfterGap(const LogRecord &record)
{
    m_buffered.emplace(record.offset, record);
    if (m_buffered.size() > m_options.maxBufferedRecords) {
        m_bufferedFrom = m_buffered.begin()->first + oneRecord;
        m_buffered.erase(m_buffered.begin());
    }
    const Errors::Result<Record> decoded = decodeRecord(record);
    const auto *part = decoded ? std::get_if<SnapshotPart>(&decoded.value()) : nullptr;
    const std::optional<Snapshot> snapshot = part ? m_snapshots.add(*part) : std::nullopt;
    if (!snapshot || snapshot->through < m_bufferedFrom)
        return;
    const Errors::Result<void> adopted = m_state.adopt(snapshot->objects, true, snapshot->hash);
    if (!adopted) {
        raise(EventKind::SnapshotRefused, record.offset, adopted.error().detail);
        return;
    }
    closeGap(snapshot->through, "snapshot " + snapshot->id);
}

void Reducer::closeGap(Base::LogOffset from, const std::string &how)
{
    const bool hadGap = std::exchange(m_hasGap, false);
    m_isComplete = true;
    m_hasSkippedNewer = false;
    m_snapshots.clear();
    m_next = std::max(from, m_readNext);
    m_readNext = m_next;
    const std::map<Base::LogOffset, LogRecord> buffered = std::exchange(m_buffered, {});
    if (hadGap)
        raise(EventKind::GapClosed, from, how);
    if (m_stateChanged)
        m_stateChanged();
    for (auto it = buffered.lower_bound(from); it != buffered.end(); ++it)
        apply(it->second);
    updateReady();
}

void Reducer::apply(const LogRecord &record)
{
    const Errors::Result<Record> decoded = decodeRecord(record);
    if (!decoded)
        skip(record, decoded.error());
    else if (const auto *change = std::get_if<ChangeRecord>(&decoded.value()))
        applyChange(record, *change);
    else
        noteSnapshot(record, std::get<SnapshotPart>(decoded.value()));
}

void Reducer::applyChange(const LogRecord &record, const ChangeRecord &change)
{
    ChangeResult result = m_state.apply(record, change);
    const bool isAccepted = result.verdict == Verdict::Accepted;
    if (result.verdict == Verdict::Stale) {
        const ChangeResult *earlier = findChangeResult(record.id);
        if (earlier && earlier->verdict == Verdict::Accepted)
            result.verdict = Verdict::Repeated;
    }
    addChangeResult(std::move(result));
    if (isAccepted && m_stateChanged)
        m_stateChanged();
}

void Reducer::noteSnapshot(const LogRecord &record, const SnapshotPart &part)
{
    const std::optional<Snapshot> snapshot = m_snapshots.add(part);
    if (!snapshot)
        return;
    raise(EventKind::SnapshotSeen, record.offset, snapshot->id);
    // The states can be compared only if no object changed after the snapshot was taken.
    const bool isSameState = m_state.changedSince(snapshot->through).empty();
    if (isSameState && !m_hasSkippedNewer && snapshot->hash != m_state.hash())
        raise(EventKind::StateDiffers, record.offset, "snapshot " + snapshot->id);
}

void Reducer::skip(const LogRecord &record, const Errors::Error &error)
{
    const bool isNewer = error.kind == Errors::ErrorKind::WrongVersion;
    m_hasSkippedNewer = m_hasSkippedNewer || isNewer;
    raise(EventKind::RecordSkipped, record.offset, error.detail);
    addChangeResult({.offset = record.offset,
                     .recordId = record.id,
                     .verdict = isNewer ? Verdict::NewerVersion : Verdict::Malformed,
                     .detail = error.detail});
}

void Reducer::addChangeResult(ChangeResult result)
{
    m_changeResults.push_back(std::move(result));
    if (m_changeResults.size() > m_options.maxChangeResults)
        m_changeResults.pop_front();
    if (m_changeProcessed)
        m_changeProcessed(m_changeResults.back());
}

Errors::Result<void> Reducer::importState(const Schema::ConfigurationState &state)
{
    if (state.since > m_next) {
        return Errors::makeError(Errors::ErrorKind::BadMessage,
                                 "the peer's state begins after ours");
    }
    if (state.next <= m_next) {
        const bool isComparable = state.next == m_next && m_isComplete && !m_hasSkippedNewer;
        if (isComparable && state.hash != m_state.hash())
            raise(EventKind::StateDiffers, state.next, "a peer's state");
        m_isComplete = m_isComplete || !m_hasGap;
        updateReady();
        return boost::outcome_v2::success();
    }
    const bool isAll = state.since == Base::LogOffset();
    Errors::Result<void> adopted = m_state.adopt(state.objects, isAll, state.hash);
    if (!adopted) {
        raise(EventKind::ImportRefused, state.next, adopted.error().detail);
        return adopted;
    }
    raise(EventKind::StateImported, state.next, std::to_string(state.objects.size()) + " objects");
    const bool staysInGap = m_hasGap && state.next < m_bufferedFrom;
    if (staysInGap) {
        m_next = state.next;
        m_isComplete = true;
        if (m_stateChanged)
            m_stateChanged();
    } else {
        closeGap(state.next, "a peer's state");
    }
    applyOutOfOrder();
    updateReady();
    return boost::outcome_v2::success();
}

std::optional<Schema::ConfigurationState> Reducer::exportState(Base::LogOffset firstOffset) const
{
    if (!m_isComplete)
        return std::nullopt;
    Schema::ConfigurationState state{.since = firstOffset, .next = m_next, .hash = m_state.hash()};
    state.objects = m_state.changedSince(firstOffset);
    return state;
}

std::vector<SnapshotPart> Reducer::makeSnapshot(const std::string &id,
                                                const std::string &writer) const
{
    return Configuration::makeSnapshot(m_state, m_next, id, writer);
}

void Reducer::raiseRequiredOffset(Base::LogOffset offset)
{
    m_requiredOffset = std::max(m_requiredOffset, offset);
    updateReady();
}

void Reducer::updateReady()
{
    m_isReady = m_isReady || (m_isComplete && m_next >= m_requiredOffset);
}

const ChangeResult *Reducer::findChangeResult(const std::string &recordId) const
{
    const ChangeResult *found = nullptr;
    for (const ChangeResult &result : m_changeResults) {
        if (result.recordId != recordId)
            continue;
        if (result.verdict == Verdict::Accepted)
            return &result;
        found = &result;
    }
    return found;
}

void Reducer::raise(EventKind kind, Base::LogOffset offset, std::string detail)
{
    if (m_eventRaised)
        m_eventRaised({kind, offset, std::move(detail)});
}

} // namespace Lagoonbank::Configuration
