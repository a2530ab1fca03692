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

/// What routers and controllers have in common as processes of the fleet.
namespace Lagoonbank::Node {

/// Keeps the configuration in force: few processes of a data centre follow the log, the others take
/// what is new from peers. Serves from memory while the log is out.
class ConfigurationFollower
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        PlatformClient::LogClient *log = nullptr; ///< Null without a platform.
        PlatformClient::Backoff::Options backoff; ///< While the log cannot be read.
        /// Its clock merges the times that records carry; null for none.
        Timeline::EventLog *events = nullptr;
    };

    explicit ConfigurationFollower(const Options &options);

    void start();
    /// Whether this process reads the log itself.
    void setReadsLog(bool readsLog);
    /// Objects from files, for running without the platform.
    void setFixedObjects(std::vector<Schema::ConfigurationObject> objects);

    bool isReady() const { return m_hasFixedObjects || m_reducer.isReady(); }
    /// All objects that are in force.
    const Configuration::ObjectTable &objects() const;
    Configuration::Reducer &reducer() { return m_reducer; }
    const Configuration::Reducer &reducer() const { return m_reducer; }
    bool isLogUp() const;
    /// This process reads the log itself and has come to its end.
    bool isAtEnd() const { return m_tailer && m_tailer->isCaughtUp(); }

    /// For peers: what changed since the offset that \a request names.
    Errors::Result<std::string> answer(std::string_view request) const;
    /// The request that brings this process up to date.
    std::string makeRequest(bool wantsAll) const;
    /// Takes a peer's answer in; an error asks for the whole state next time.
    Errors::Result<void> importAnswer(std::string_view answer);
    /// A peer holds the configuration up to this offset.
    void raiseRequiredOffset(Base::LogOffset next) { m_reducer.raiseRequiredOffset(next); }

    /// The objects in force have changed, or the configuration has become whole.
    std::function<void()> changed;
    std::function<void(bool isUp)> logHealthChanged;
    std::function<void(const Configuration::Event &event)> eventRaised;
    std::function<void(const Configuration::ChangeResult &result)> changeProcessed;
    /// A record of the log came in.
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
