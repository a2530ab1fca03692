#include "controller/snapshotwriter.h"

#include <memory>
#include <vector>

namespace Lagoonbank::Controller {

namespace {

constexpr Base::Duration tickInterval = std::chrono::milliseconds(500);

/// Append progress of the parts of one snapshot.
struct Progress
{
    std::size_t pendingParts = 0;
    bool isComplete = true;
};

} // namespace

SnapshotWriter::SnapshotWriter(const Options &options)
    : m_options(options)
    , m_scheduler(options.schedule, options.timers->clock().now())
{ }

SnapshotWriter::~SnapshotWriter()
{
    m_options.timers->cancel(m_timer);
}

void SnapshotWriter::start()
{
    tick();
}

void SnapshotWriter::snapshotSeen()
{
    m_scheduler.snapshotSeen(m_options.timers->clock().now());
}

void SnapshotWriter::tick()
{
    m_timer = m_options.timers->start(tickInterval, [this] { tick(); });
    const auto rank = m_options.rank();
    const Base::MonoTime now = m_options.timers->clock().now();
    if (!rank || !m_options.reducer->canWriteSnapshot() || !m_scheduler.isDue(now, *rank))
        return;
    m_scheduler.appendStarted(now);
    write();
}

void SnapshotWriter::write()
{
    const std::string id = m_options.writer + "/snapshot-" + std::to_string(++m_lastSnapshotNumber);
    const std::vector<Configuration::SnapshotPart> parts =
        m_options.reducer->makeSnapshot(id, m_options.writer);
    const auto progress = std::make_shared<Progress>();
    const auto partEnded = [this, id, progress, count = parts.size()](bool isAppended) {
        progress->isComplete = progress->isComplete && isAppended;
        if (--progress->pendingParts > 0)
            return;
        if (progress->isComplete && appended)
            appended(id, count);
        if (!progress->isComplete && failed)
            failed(id);
    };
    progress->pendingParts = parts.size();
    for (const Configuration::SnapshotPart &part : parts) {
        const bool isQueued = m_options.appender->add(
            {.id = id + '/' + std::to_string(part.part), .data = Configuration::encode(part)},
            [partEnded](PlatformClient::AppendOutcome outcome) {
                partEnded(outcome.state == PlatformClient::AppendState::Appended);
            });
        if (!isQueued)
            partEnded(false);
    }
}

} // namespace Lagoonbank::Controller
