#include "fleetsync/quarantinelog.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

/// Value of each key that is present; the key carries all information.
constexpr const char *presentValue = "1";

std::string keyOf(std::uint64_t request)
{
    return absl::StrCat(absl::Hex(request, absl::kZeroPad16));
}

} // namespace

QuarantineLog::QuarantineLog(Options options)
    : m_options(std::move(options))
    , m_backoff(m_options.backoff)
{ }

QuarantineLog::~QuarantineLog()
{
    m_options.timers->cancel(m_timer);
    for (const auto &[key, timer] : m_dropTimers)
        m_options.timers->cancel(timer);
}

void QuarantineLog::save(std::uint64_t request)
{
    const std::string key = keyOf(request);
    scheduleDrop(key);
    write(key, presentValue);
}

void QuarantineLog::saveMissing(const std::vector<Schema::SharedQuarantine> &quarantines,
                                const KeyedLog::KeyedView::Keys &present)
{
    for (const Schema::SharedQuarantine &one : quarantines) {
        const bool lastsLong = std::chrono::milliseconds(one.leftMs) >= m_options.minLeftToSave;
        if (lastsLong && !present.contains(keyOf(one.request)))
            save(one.request);
    }
}

void QuarantineLog::recordRead(const KeyedLog::KeyedRecord &record)
{
    std::uint64_t request = 0;
    if (!record.value || !absl::SimpleHexAtoi(record.key, &request))
        return; // Deleted, or not the key of a request.
    scheduleDrop(record.key);
    if (received)
        received(request);
}

void QuarantineLog::scheduleDrop(const std::string &key)
{
    if (m_dropTimers.contains(key))
        return;
    m_dropTimers[key] = m_options.timers->start(m_options.retention, [this, key] {
        m_dropTimers.erase(key);
        write(key, {});
    });
}

void QuarantineLog::write(const std::string &key, const std::string &value)
{
    m_pendingWrites[key] = value;
    writeNext();
}

void QuarantineLog::writeNext()
{
    if (m_isWriting || m_pendingWrites.empty())
        return;
    m_isWriting = true;
    const auto &[key, value] = *m_pendingWrites.begin();
    m_options.write(key, value,
                    [this, key = key,
                     isAlive = std::weak_ptr<bool>(m_isAlive)](const Errors::Result<void> &result) {
                        if (!isAlive.expired())
                            written(key, result);
                    });
}

void QuarantineLog::written(const std::string &key, const Errors::Result<void> &result)
{
    if (result) {
        m_isWriting = false;
        m_pendingWrites.erase(key);
        m_backoff.reset();
        writeNext();
        return;
    }
    m_timer = m_options.timers->start(m_backoff.next(), [this] {
        m_isWriting = false;
        writeNext();
    });
}

} // namespace Lagoonbank::FleetSync
