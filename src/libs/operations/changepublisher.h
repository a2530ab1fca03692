#pragma once

#include "operations/configurationlog.h"
#include "timeline/hybridclock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Operations {

/// The outcome of publishing one object.
enum class ChangeState : std::uint8_t {
    Accepted, ///< Read back from the log and accepted.
    Unchanged, ///< The log already holds the same object.
    Rejected, ///< The object is invalid, or another change was accepted first.
    Unknown, ///< The change may be in the log or may still arrive there.
    NotSent ///< The log did not accept the record.
};

std::string_view toString(ChangeState state);

struct ChangeOutcome
{
    Configuration::ObjectKey key;
    ChangeState state = ChangeState::NotSent;
    Base::Revision revision; ///< Current revision of the object.
    Base::LogOffset offset; ///< Offset of the record with that revision.
    std::string recordId; ///< Id of the record of this change; empty if none was made.
    std::string detail; ///< Reason, and whose change was accepted instead.
};

/// Publishes changes by compare-and-set on their base revisions and reads their outcomes back from
/// the log. If the answer to an append is lost, the outcome is read from the log too. A record that
/// is not found there is appended again with the same id. This is safe, as its base revision is no
/// longer current once one copy has been accepted.
class ChangePublisher
{
public:
    using Done = std::function<void()>;

    /// `log` must have been read before.
    ChangePublisher(const Context &context, ConfigurationLog &log);
    ~ChangePublisher();
    ChangePublisher(const ChangePublisher &) = delete;
    ChangePublisher &operator=(const ChangePublisher &) = delete;

    /// Adds a change based on the object's current revision, or on \a baseRevision if it is given.
    void addObject(const Schema::ConfigurationObject &object,
                   std::optional<Base::Revision> baseRevision);
    void addRemoval(const Configuration::ObjectKey &key,
                    std::optional<Base::Revision> baseRevision);
    /// Sends the added changes. Calls `done` once, possibly before this function returns.
    void start(Done done);

    /// Outcomes in the order in which the changes were added. A change without an outcome yet is
    /// Unknown if it may have been sent, otherwise NotSent.
    std::vector<ChangeOutcome> outcomes() const;

private:
    struct Change
    {
        Configuration::ChangeRecord record;
        std::optional<Schema::ConfigurationObject> object;
        ChangeOutcome outcome;
        bool isSettled = false;
        bool mayHaveBeenSent = false;
    };

    void add(Change change, std::optional<Base::Revision> baseRevision);
    std::string nextTimestamp();
    void rejectStale(Change &change, const std::string &why) const;
    void sendNext();
    void appendFinished(const PlatformClient::AppendResult &result);
    void readBack();
    void settleSentChanges();
    bool settle(Change &change) const;
    bool isInForce(const Change &change) const;
    void retryOrFinish();
    std::vector<Change *> batch();
    void finish();

    const Context &m_context;
    ConfigurationLog &m_log;
    std::vector<Change> m_changes;
    Timeline::HybridClock m_clock;
    Done m_done;
    RetryPolicy m_retryPolicy;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::Operations
