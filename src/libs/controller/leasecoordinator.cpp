#include "controller/leasecoordinator.h"

namespace Lagoonbank::Controller {

namespace {

constexpr Base::Duration tickInterval = std::chrono::milliseconds(100);

} // namespace

LeaseCoordinator::LeaseCoordinator(const Options &options)
    : m_options(options)
    , m_keeper(options.lease, options.timers->clock().now())
    , m_tailer({.log = options.log, .timers = options.timers, .stream = streamName})
{
    m_keeper.appendRequested = [this](const std::string &id, const Orders::LeaseRecord &record) {
        append(id, record);
    };
    m_keeper.gained = [this](Base::FencingNumber fencing) {
        if (gained)
            gained(fencing);
    };
    m_keeper.lost = [this] {
        if (lost)
            lost();
    };
    m_tailer.setRecordReceived(
        [this](const PlatformClient::StoredRecord &stored) { recordRead(stored); });
    m_tailer.setGapFound([this](Base::LogOffset, Base::LogOffset first) { m_logFirst = first; });
}

LeaseCoordinator::~LeaseCoordinator()
{
    m_options.timers->cancel(m_timer);
    m_tailer.stop();
}

void LeaseCoordinator::start()
{
    m_tailer.start();
    tick();
}

void LeaseCoordinator::recordRead(const PlatformClient::StoredRecord &stored)
{
    const auto record = Orders::leaseRecordFromText(stored.data);
    if (record)
        m_keeper.recordRead(stored.offset, stored.id, record.value(), now());
}

void LeaseCoordinator::append(const std::string &id, const Orders::LeaseRecord &record)
{
    // Reading the record back from the stream determines the outcome, so the append result is
    // ignored.
    m_options.log->append(streamName, {{.id = id, .data = Orders::toText(record)}},
                          [](const PlatformClient::AppendResult &) {});
}

void LeaseCoordinator::tick()
{
    m_timer = m_options.timers->start(tickInterval, [this] { tick(); });
    if (m_tailer.health().isUp && m_tailer.isCaughtUp())
        m_keeper.caughtUp(m_logFirst);
    else
        m_keeper.logFailed();
    // A claim that was pending at the release may have succeeded in the meantime.
    if (m_isReleaseRequested && mayOrder(true))
        m_keeper.release(now());
    m_keeper.advance(m_isCandidate && !m_isReleaseRequested, now());
}

void LeaseCoordinator::release()
{
    m_isReleaseRequested = true;
    m_keeper.release(now());
}

bool LeaseCoordinator::isReleasePending() const
{
    return m_isReleaseRequested && m_keeper.state().fencing()
        && m_keeper.state().holder() == m_options.lease.holder;
}

std::optional<Base::FencingNumber> LeaseCoordinator::mayOrder(bool endpointChecksFencing) const
{
    return m_keeper.mayOrder(endpointChecksFencing, now());
}

} // namespace Lagoonbank::Controller
