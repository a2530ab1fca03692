#pragma once

#include "configuration/record.h"
#include "configuration/snapshot.h"
#include "configuration/state.h"
#include "errors/result.h"
#include "schema/generated/configurationsync.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <string>

namespace Lagoonbank::Configuration {

/// Events of the reduction that are reported to operators.
enum class EventKind : std::uint8_t {
    RecordSkipped, ///< A record is malformed or was written by a newer program.
    GapFound, ///< Retention removed records that had not been read.
    GapClosed, ///< A snapshot or a peer's state replaced the missing records.
    SnapshotSeen, ///< A complete snapshot was read from the log.
    SnapshotRefused, ///< A snapshot would revert an object, or its hash is wrong.
    StateImported, ///< The state was taken over from a peer.
    ImportRefused, ///< A peer's state would revert an object, or its hash is wrong.
    StateDiffers ///< A peer or a snapshot has a different state after the same records.
};

std::string_view toString(EventKind kind);
std::ostream &operator<<(std::ostream &stream, EventKind kind);

struct Event
{
    EventKind kind = EventKind::RecordSkipped;
    Base::LogOffset offset;
    std::string detail;
};

/// Builds the configuration from the records of the log, in the order of their offsets, and from
/// the states of peers. The state always includes exactly the records before next(), and never
/// reverts to an earlier one.
class Reducer
{
public:
    struct Options
    {
        std::size_t maxChangeResults = 1024; ///< Number of latest results kept for the history.
        /// Maximum number of records buffered behind a gap.
        std::size_t maxBufferedRecords = 65536;
        std::size_t maxOutOfOrderRecords = 1024; ///< Maximum number of buffered records from peers.
    };

    explicit Reducer(const Options &options);
    Reducer()
        : Reducer(Options())
    { }

    /// Sets a hook that is called with the verdict on each change, in the order of the log.
    void setChangeProcessed(std::function<void(const ChangeResult &)> hook)
    {
        m_changeProcessed = std::move(hook);
    }
    /// Sets a hook that is called after each change of the state.
    void setStateChanged(std::function<void()> hook) { m_stateChanged = std::move(hook); }
    void setEventRaised(std::function<void(const Event &)> hook)
    {
        m_eventRaised = std::move(hook);
    }

    /// Processes a record read from the log, in order. Offsets may be skipped, as the reader drops
    /// repeated records. A repeated or older record changes nothing.
    void recordRead(const LogRecord &record);
    /// Processes a record forwarded by a peer. Records may arrive in any order and more than once.
    void recordFromPeer(const LogRecord &record);
    /// Must be called when the records before `first` are no longer in the log.
    void gapFound(Base::LogOffset first);
    /// Must be called when the end of the log has been reached.
    void endReached();

    /// Replaces the state by a peer's state if that is ahead. Fails if the peer's state starts
    /// after next() or is inconsistent with this one. The caller should then request the complete
    /// state, since offset 0.
    Errors::Result<void> importState(const Schema::ConfigurationState &state);
    /// The objects changed by records from offset \a firstOffset on, for peers. Returns nothing
    /// until the configuration is complete. An offset above next() gives no objects.
    std::optional<Schema::ConfigurationState> exportState(Base::LogOffset firstOffset) const;
    /// Sets the offset that peers have reached. The reducer is not ready before it has reached it
    /// too. Lower offsets than before are ignored.
    void raiseRequiredOffset(Base::LogOffset offset);

    /// Whether the configuration is complete and at least as new as that of the peers at the start.
    /// Once true it stays true.
    bool isReady() const { return m_isReady; }
    /// Whether retention removed records that had not been read, and neither a snapshot nor a
    /// peer's state has replaced them yet.
    bool hasGap() const { return m_hasGap; }
    /// Whether a snapshot of this state may be appended: it is complete and no record of a newer
    /// program was skipped.
    bool canWriteSnapshot() const { return m_isComplete && !m_hasGap && !m_hasSkippedNewer; }
    std::vector<SnapshotPart> makeSnapshot(const std::string &id, const std::string &writer) const;

    /// Offset of the first record that the state does not include.
    Base::LogOffset next() const { return m_next; }
    /// Offset of the first record that has not been read.
    Base::LogOffset readNext() const { return m_readNext; }
    const State &state() const { return m_state; }
    const ObjectTable &objects() const { return m_state.table(); }
    std::uint64_t hash() const { return m_state.hash(); }

    const std::deque<ChangeResult> &changeResults() const { return m_changeResults; }
    /// Returns the result that accepted the change with this record id or, if none did, the latest
    /// result for this record id. Returns null if there is no result for it.
    const ChangeResult *findChangeResult(const std::string &recordId) const;

private:
    void noteCoveredRecord(const LogRecord &record);
    void consume(const LogRecord &record);
    void bufferAfterGap(const LogRecord &record);
    void apply(const LogRecord &record);
    void applyChange(const LogRecord &record, const ChangeRecord &change);
    void noteSnapshot(const LogRecord &record, const SnapshotPart &part);
    void skip(const LogRecord &record, const Errors::Error &error);
    void addChangeResult(ChangeResult result);
    void closeGap(Base::LogOffset from, const std::string &how);
    void applyOutOfOrder();
    void updateReady();
    void raise(EventKind kind, Base::LogOffset offset, std::string detail);

    Options m_options;
    State m_state;
    SnapshotCollector m_snapshots;
    SnapshotCollector m_coveredSnapshots; ///< From records that a peer's state already covers.
    Base::LogOffset m_next;
    Base::LogOffset m_readNext;
    Base::LogOffset m_bufferedFrom; ///< All records read from this offset on are buffered.
    Base::LogOffset m_requiredOffset; ///< Not ready before next() has reached it.
    std::map<Base::LogOffset, LogRecord> m_buffered; ///< Records behind a gap.
    std::map<Base::LogOffset, LogRecord> m_outOfOrder; ///< Records from peers after m_readNext.
    std::deque<ChangeResult> m_changeResults;
    bool m_hasGap = false;
    bool m_isComplete = false;
    bool m_isReady = false;
    bool m_hasSkippedNewer = false;
    std::function<void(const ChangeResult &)> m_changeProcessed;
    std::function<void()> m_stateChanged;
    std::function<void(const Event &)> m_eventRaised;
};

} // namespace Lagoonbank::Configuration
