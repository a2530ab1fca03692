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

/// What operators may want to see of the reduction.
enum class EventKind : std::uint8_t {
    RecordSkipped, ///< Malformed or written by a newer program.
    GapFound, ///< Retention took records that were not read.
    GapClosed, ///< A snapshot or a peer's state filled it.
    SnapshotSeen, ///< A whole snapshot stands in the log.
    SnapshotRefused, ///< It would have taken an object back, or its hash is wrong.
    StateImported, ///< From a peer.
    ImportRefused, ///< It would have taken an object back, or its hash is wrong.
    StateDiffers ///< A peer or a snapshot holds another state after the same records.
};

std::string_view toString(EventKind kind);
std::ostream &operator<<(std::ostream &stream, EventKind kind);

struct Event
{
    EventKind kind = EventKind::RecordSkipped;
    Base::LogOffset offset;
    std::string detail;
};

/// Keeps the configuration from the records of the log, in the order of their offsets, and from
/// what peers hold. The state is always the one after all records before next(); it never goes
/// back.
class Reducer
{
public:
    struct Options
    {
        std::size_t maxJudgements = 1024; ///< Latest ones that are kept for the history.
        std::size_t maxBuffered = 65536; ///< Records kept after a gap until a snapshot fills it.
        std::size_t maxOutOfOrder = 1024; ///< Records from peers that are ahead.
    };

    explicit Reducer(const Options &options);
    Reducer()
        : Reducer(Options())
    { }

    /// For each change, in the order of the log.
    void setJudged(std::function<void(const Judgement &)> hook) { m_judged = std::move(hook); }
    /// After the state has changed in any way.
    void setStateChanged(std::function<void()> hook) { m_stateChanged = std::move(hook); }
    void setEventRaised(std::function<void(const Event &)> hook)
    {
        m_eventRaised = std::move(hook);
    }

    /// A record read from the log, in order. Offsets may be left out where the reader drops
    /// repeated records; a repeated or older one changes nothing.
    void recordRead(const LogRecord &record);
    /// A record that a peer passed on, in any order, any number of times.
    void recordFromPeer(const LogRecord &record);
    /// The records before `first` are gone from the log.
    void gapFound(Base::LogOffset first);
    /// The end of the log has been reached.
    void endReached();

    /// Takes over a peer's state if it is ahead. Fails where it does not fit; then ask for the
    /// whole state, since offset 0.
    Errors::Result<void> importState(const Schema::ConfigurationState &state);
    /// For peers; nothing before a whole configuration is held. An offset above next() gives no
    /// objects.
    std::optional<Schema::ConfigurationState> exportState(Base::LogOffset since) const;
    /// Peers hold the configuration up to this offset; not ready before it is reached.
    void raiseRequiredOffset(Base::LogOffset offset);

    /// A whole configuration is held that is as new as what peers held at the start. Once true it
    /// stays true.
    bool isReady() const { return m_isReady; }
    /// Records are missing that neither a snapshot nor a peer has made good yet.
    bool hasGap() const { return m_hasGap; }
    /// Whether a snapshot of this state may be appended: it is whole and leaves nothing out.
    bool canWriteSnapshot() const { return m_isComplete && !m_hasGap && !m_hasSkippedNewer; }
    std::vector<SnapshotPart> makeSnapshot(const std::string &id, const std::string &writer) const;

    /// First record that the state does not take in.
    Base::LogOffset next() const { return m_next; }
    /// First record that has not been read.
    Base::LogOffset readNext() const { return m_readNext; }
    const State &state() const { return m_state; }
    const ObjectTable &objects() const { return m_state.table(); }
    std::uint64_t hash() const { return m_state.hash(); }

    const std::deque<Judgement> &judgements() const { return m_judgements; }
    /// What became of the change: its acceptance if there is one, else the latest verdict.
    const Judgement *judgementOf(const std::string &recordId) const;

private:
    void noteCoveredRecord(const LogRecord &record);
    void consume(const LogRecord &record);
    void bufferAfterGap(const LogRecord &record);
    void apply(const LogRecord &record);
    void applyChange(const LogRecord &record, const ChangeRecord &change);
    void noteSnapshot(const LogRecord &record, const SnapshotPart &part);
    void skip(const LogRecord &record, const Errors::Error &error);
    void addJudgement(Judgement judgement);
    void closeGap(Base::LogOffset from, const std::string &how);
    void applyOutOfOrder();
    void updateReady();
    void raise(EventKind kind, Base::LogOffset offset, std::string detail);

    Options m_options;
    State m_state;
    SnapshotCollector m_snapshots;
    SnapshotCollector m_coveredSnapshots; ///< Of records that a peer's state went past.
    Base::LogOffset m_next;
    Base::LogOffset m_readNext;
    Base::LogOffset m_bufferedFrom; ///< All records read from here on are held.
    Base::LogOffset m_requiredOffset;
    std::map<Base::LogOffset, LogRecord> m_buffered;
    std::map<Base::LogOffset, LogRecord> m_outOfOrder;
    std::deque<Judgement> m_judgements;
    bool m_hasGap = false;
    bool m_isComplete = false;
    bool m_isReady = false;
    bool m_hasSkippedNewer = false;
    std::function<void(const Judgement &)> m_judged;
    std::function<void()> m_stateChanged;
    std::function<void(const Event &)> m_eventRaised;
};

} // namespace Lagoonbank::Configuration
