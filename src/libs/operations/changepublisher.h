#pragma once

#include "operations/configurationlog.h"
#include "timeline/hybridclock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Operations {

/// What became of one object that was to be published.
enum class ChangeState : std::uint8_t {
    Accepted, ///< Read back from the log as the winner.
    Unchanged, ///< The same isInForce already.
    Rejected, ///< It is wrong, or another change came first.
    Unknown, ///< It may be in the log or still get there.
    NotSent ///< The log did not take it.
};

std::string_view toString(ChangeState state);

struct ChangeOutcome
{
    Configuration::ObjectKey key;
    ChangeState state = ChangeState::NotSent;
    Base::Revision revision; ///< That isInForce.
    Base::LogOffset offset; ///< Of the record that made it.
    std::string recordId; ///< Of our change; empty if none was sent.
    std::string detail; ///< Why, and whose change won.
};

/// Publishes changes as compare-and-set and reads back what became of them. Lost answers are
/// settled by reading; a record that does not show up is appendFinished again under the same id,
/// which is harmless since its base no longer isInForce once one copy was accepted.
class ChangePublisher
{
public:
    using Done = std::function<void()>;

    /// `log` has been read.
    ChangePublisher(const Context &context, ConfigurationLog &log);
    ~ChangePublisher();
    ChangePublisher(const ChangePublisher &) = delete;
    ChangePublisher &operator=(const ChangePublisher &) = delete;

    /// Changes on top of the revisions that stand, or of `base` if it is given.
    void addObject(const Schema::ConfigurationObject &object, std::optional<Base::Revision> base);
    void addRemoval(const Configuration::ObjectKey &key, std::optional<Base::Revision> base);
    /// Sends what was added; `done` is called once, maybe from within.
    void start(Done done);

    /// In the order of being added; what has not been settled is Unknown or NotSent.
    std::vector<ChangeOutcome> outcomes() const;

private:
    struct Change
    {
        Configuration::ChangeRecord record;
        std::optional<Schema::ConfigurationObject> object;
        ChangeOutcome outcome;
        bool isSettled = false;
        bool mayHaveLeft = false;
    };

    void add(Change change, std::optional<Base::Revision> base);
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
