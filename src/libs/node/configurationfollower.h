#pragma once

#include "base/ids.h"
#include "configuration/reducer.h"
#include "errors/result.h"
#include "platformclient/logclient.h"
#include "platformclient/tailer.h"
#include "runtime/loop.h"
#include "timeline/eventlog.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Code that the router and controller processes share.
namespace Lagoonbank::Node {

/// Keeps a process's configuration up to date. A few processes in each data centre follow the log,
/// and the others receive changes from peers. While the log is unavailable, the configuration in
/// memory remains in force.
class ConfigurationFollower
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        PlatformClient::LogClient *log = nullptr; ///< Null if there is no platform.
        PlatformClient::Backoff::Options backoff; ///< Delays between failed reads of the log.
        /// Event log whose hybrid clock merges the times in records. May be null.
        Timeline::EventLog *events = nullptr;
    };

    explicit ConfigurationFollower(const Options &options);

    void start();
    /// Sets whether this process reads the log itself.
    void setReadsLog(bool readsLog);
    /// Uses these objects, which were read from files, instead of the log and peers. Used without
    /// the platform.
    void setFixedObjects(std::vector<Schema::ConfigurationObject> objects);

    bool isReady() const { return m_hasFixedObjects || m_reducer.isReady(); }
    /// The objects in force.
    const Configuration::ObjectTable &objects() const;
    Configuration::Reducer &reducer() { return m_reducer; }
    const Configuration::Reducer &reducer() const { return m_reducer; }
    bool isLogUp() const;
    /// Whether this process reads the log itself and has reached its end.
    bool isAtEnd() const { return m_tailer && m_tailer->isCaughtUp(); }

    /// Returns the encoded state for a peer, with the objects changed since the offset in \a
    /// request.
    Errors::Result<std::string> answer(std::string_view request) const;
    /// Returns an encoded request for a peer's newer state, or for its complete state if \a
    /// wantsAll is set.
    std::string makeRequest(bool wantsAll) const;
    /// Imports a peer's answer. If this fails, the caller should request the complete state.
    Errors::Result<void> importAnswer(std::string_view answer);
    /// Must be called when a peer has the configuration up to this offset. Before this process has
    /// it too, it does not become ready.
    void raiseRequiredOffset(Base::LogOffset next) { m_reducer.raiseRequiredOffset(next); }

    /// Called when the objects in force have changed or the configuration has become complete.
    std::function<void()> changed;
    std::function<void(bool isUp)> logHealthChanged;
    std::function<void(const Configuration::Event &event)> eventRaised;
    std::function<void(const Configuration::ChangeResult &result)> changeProcessed;
    /// Called for each record read from the log.
    std::function<void(const Configuration::LogRecord &record)> recordRead;

private:
    void makeTailer();
    void stateChanged();

    Runtime::Loop &m_loop;
    PlatformClient::LogClient *m_log;
    PlatformClient::Backoff::Options m_backoff;
    Timeline::EventLog *m_events;
    Configuration::Reducer m_reducer;
    std::unique_ptr<PlatformClient::Tailer> m_tailer;
    Configuration::ObjectTable m_fixedObjects;
    bool m_hasFixedObjects = false;
    bool m_isChangePosted = false;
};

} // namespace Lagoonbank::Node
