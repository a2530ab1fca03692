#pragma once

#include "configuration/reducer.h"
#include "configuration/snapshotscheduler.h"
#include "platformclient/batchappender.h"
#include "runtime/timerqueue.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Lagoonbank::Controller {

/// Appends snapshots of the configuration to the log, so that the log always contains one.
class SnapshotWriter
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        PlatformClient::BatchAppender *appender = nullptr; ///< For the stream `configuration`.
        const Configuration::Reducer *reducer = nullptr;
        Configuration::SnapshotScheduler::Options schedule;
        std::string writer; ///< Id of the writing process, unique for each run of it.
        /// Rank of this process among all controllers that may write snapshots; empty if this
        /// process must not write now.
        std::function<std::optional<std::size_t>()> rank;
    };

    explicit SnapshotWriter(const Options &options);
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter &) = delete;
    SnapshotWriter &operator=(const SnapshotWriter &) = delete;

    void start();
    /// Must be called when a complete snapshot was read after the end of the log had been reached.
    void snapshotSeen();

    std::function<void(const std::string &id, std::size_t parts)> appended;
    std::function<void(const std::string &id)> failed;

private:
    void tick();
    void write();

    Options m_options;
    Configuration::SnapshotScheduler m_scheduler;
    std::uint64_t m_lastSnapshotNumber = 0;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::Controller
