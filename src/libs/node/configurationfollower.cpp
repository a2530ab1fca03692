#include "node/configurationfollower.h"

#include "node/logicaltime.h"
#include "schema/messagecodec.h"

#include <boost/outcome/try.hpp>

#include <utility>

namespace Lagoonbank::Node {

namespace {

constexpr Base::Duration longPollTimeout = std::chrono::seconds(5);

} // namespace

ConfigurationFollower::ConfigurationFollower(const Options &options)
    : m_loop(*options.loop)
    , m_log(options.log)
    , m_backoff(options.backoff)
    , m_events(options.events)
{
    m_reducer.setStateChanged([this] { stateChanged(); });
    m_reducer.setEventRaised([this](const Configuration::Event &event) {
        if (eventRaised)
            eventRaised(event);
    });
    m_reducer.setChangeProcessed([this](const Configuration::ChangeResult &result) {
        if (m_events)
            mergeRecordTime(result.time, *m_events, m_loop.clock());
        if (changeProcessed)
            changeProcessed(result);
    });
}

void ConfigurationFollower::start()
{
    setReadsLog(true);
}

void ConfigurationFollower::setReadsLog(bool readsLog)
{
    if (!m_log || m_hasFixedObjects || readsLog == (m_tailer != nullptr))
        return;
    if (readsLog) {
        makeTailer();
        return;
    }
    // The tailer must not be destroyed within one of its own hooks.
    m_tailer->stop();
    m_loop.post([tailer = std::shared_ptr<PlatformClient::Tailer>(std::move(m_tailer))] {});
}

void ConfigurationFollower::makeTailer()
{
    // The reducer determines the verdict on repeated records, so the tailer must not drop them.
    m_tailer = std::make_unique<PlatformClient::Tailer>(
        PlatformClient::Tailer::Options{.log = m_log,
                                        .timers = &m_loop.timers(),
                                        .stream = std::string(Configuration::streamName),
                                        .from = m_reducer.next(),
                                        .wait = longPollTimeout,
                                        .recentIdCapacity = 0,
                                        .backoff = m_backoff});
    m_tailer->setRecordReceived([this](const PlatformClient::StoredRecord &stored) {
        const Configuration::LogRecord record{stored.offset, stored.id, stored.data};
        m_reducer.recordRead(record);
        if (recordRead)
            recordRead(record);
    });
    m_tailer->setGapFound(
        [this](Base::LogOffset, Base::LogOffset first) { m_reducer.gapFound(first); });
    m_tailer->setCaughtUp([this] {
        m_reducer.endReached();
        stateChanged();
    });
    m_tailer->setHealthChanged([this](const PlatformClient::LogHealth &health) {
        if (logHealthChanged)
            logHealthChanged(health.isUp);
    });
    m_tailer->start();
}

void ConfigurationFollower::setFixedObjects(std::vector<Schema::ConfigurationObject> objects)
{
    m_fixedObjects = Configuration::ObjectTable();
    for (Schema::ConfigurationObject &object : objects)
        m_fixedObjects.set(std::move(object));
    m_hasFixedObjects = true;
    stateChanged();
}

const Configuration::ObjectTable &ConfigurationFollower::objects() const
{
    return m_hasFixedObjects ? m_fixedObjects : m_reducer.objects();
}

bool ConfigurationFollower::isLogUp() const
{
    return m_tailer && m_tailer->health().isUp;
}

void ConfigurationFollower::stateChanged()
{
    // A page of the log may change many objects. The hook is called once for all of them.
    if (m_isChangePosted)
        return;
    m_isChangePosted = true;
    m_loop.post([this] {
        m_isChangePosted = false;
        if (changed)
            changed();
    });
}

Errors::Result<std::string> ConfigurationFollower::answer(std::string_view request) const
{
    BOOST_OUTCOME_TRY(wanted, Schema::decodeMessage<Schema::ConfigurationRequest>(request));
    const auto state = m_reducer.exportState(wanted.since);
    if (!state)
        return Errors::makeError(Errors::ErrorKind::NotReady);
    return Schema::encodeMessage(*state);
}

std::string ConfigurationFollower::makeRequest(bool wantsAll) const
{
    const Schema::ConfigurationRequest request{wantsAll ? Base::LogOffset() : m_reducer.next()};
    return Schema::encodeMessage(request).value();
}

Errors::Result<void> ConfigurationFollower::importAnswer(std::string_view answer)
{
    BOOST_OUTCOME_TRY(state, Schema::decodeMessage<Schema::ConfigurationState>(answer));
    return m_reducer.importState(state);
}

} // namespace Lagoonbank::Node
