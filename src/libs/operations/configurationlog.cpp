#include "operations/configurationlog.h"

namespace Lagoonbank::Operations {

namespace {

/// Large enough for the history command to show all changes in the log.
constexpr std::size_t maxChangeResults = 1'000'000;

} // namespace

ConfigurationLog::ConfigurationLog(const Context &context)
    : m_reducer({.maxChangeResults = maxChangeResults})
    , m_stream(context, std::string(Configuration::streamName))
{
    m_stream.setRecordRead([this](const PlatformClient::StoredRecord &record) {
        m_reducer.recordRead({.offset = record.offset, .id = record.id, .data = record.data});
    });
    m_stream.setGapFound([this](Base::LogOffset first) { m_reducer.gapFound(first); });
}

void ConfigurationLog::read(ReadFinished done)
{
    m_stream.readToEnd([this, done = std::move(done)](const Errors::Result<void> &result) {
        if (!result)
            return done(result);
        m_reducer.endReached();
        done(checkComplete());
    });
}

Errors::Result<void> ConfigurationLog::checkComplete() const
{
    if (!m_reducer.hasGap())
        return boost::outcome_v2::success();
    return Errors::makeError(Errors::ErrorKind::NotReady,
                             "Records before offset " + std::to_string(first().value())
                                 + " are no longer in the log, and it holds no snapshot. Wait "
                                   "until a controller has appended one, then run the command "
                                   "again.");
}

const Schema::ObjectState *ConfigurationLog::entry(const Configuration::ObjectKey &key) const
{
    const auto &entries = m_reducer.state().entries();
    const auto found = entries.find(key);
    return found == entries.end() ? nullptr : &found->second;
}

} // namespace Lagoonbank::Operations
