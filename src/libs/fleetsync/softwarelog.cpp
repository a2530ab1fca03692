#include "fleetsync/softwarelog.h"

#include "base/logoffset.h"
#include "base/parsenumber.h"
#include "fleetsync/messagelimits.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <string_view>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

/// Key of the era in which the other keys were written.
const std::string eraKey = "era";
const std::string softwarePrefix = "software-";

std::string keyOf(const Schema::SharedSoftware &use)
{
    return softwarePrefix + absl::StrCat(absl::Hex(use.software, absl::kZeroPad16));
}

} // namespace

SoftwareLog::SoftwareLog(Options options)
    : m_options(std::move(options))
    , m_listing(
          {.source = m_options.source, .timers = m_options.timers, .backoff = m_options.backoff})
    , m_writes({.write = m_options.write, .timers = m_options.timers, .backoff = m_options.backoff})
{
    m_listing.listed = [this](const KeyedLog::KeyedRecord &record) { recordListed(record); };
    m_listing.completed = [this](Base::LogOffset end) { listingCompleted(end); };
}

SoftwareLog::~SoftwareLog()
{
    m_options.timers->cancel(m_historyTimer);
}

void SoftwareLog::read()
{
    m_listedKeys.clear();
    m_storedEra.reset();
    m_isListing = true;
    m_listing.start();
}

void SoftwareLog::logRestored()
{
    if (m_isRead)
        read();
}

void SoftwareLog::recordListed(const KeyedLog::KeyedRecord &record)
{
    if (record.key == eraKey)
        m_storedEra = Base::parseNumber<std::uint64_t>(record.value.value_or(std::string()));
    const auto use = readRecord(record, unreadable);
    if (!use)
        return;
    m_listedKeys.insert(record.key);
    if (received)
        received(*use);
}

void SoftwareLog::listingCompleted(Base::LogOffset end)
{
    m_isListing = false;
    m_storedKeys = std::exchange(m_listedKeys, {});
    m_era = Base::eraOf(end).value();
    const bool isRestored = m_storedEra && *m_storedEra != m_era;
    const auto returnTime = isRestored ? rewriteTime : Base::Duration::zero();
    m_eraDueAt = m_options.timers->clock().now() + returnTime;
    if (std::exchange(m_isRead, true))
        return;
    if (readCompleted)
        readCompleted();
    m_historyTimer = m_options.timers->start(returnTime, [this] {
        if (historyRead)
            historyRead();
    });
}

std::optional<Schema::SharedSoftware>
SoftwareLog::readRecord(const KeyedLog::KeyedRecord &record,
                        const KeyedLog::UnreadableRecord &unreadable)
{
    if (!record.value)
        return std::nullopt; // Deleted.
    const auto report = [&](std::string_view reason) {
        if (unreadable)
            unreadable(record, reason);
    };
    if (record.key == eraKey) {
        if (!Base::parseNumber<std::uint64_t>(*record.value))
            report("the era is not a number");
        return std::nullopt;
    }
    Schema::SharedSoftware use{.service = *record.value};
    const bool isSoftware = record.key.starts_with(softwarePrefix)
        && absl::SimpleHexAtoi(record.key.substr(softwarePrefix.size()), &use.software)
        && keyOf(use) == record.key && !use.service.empty()
        && use.service.size() <= MessageLimits::serviceBytes;
    if (!isSoftware) {
        report("the record does not name a software version");
        return std::nullopt;
    }
    return use;
}

void SoftwareLog::update(const std::vector<Schema::SharedSoftware> &uses)
{
    if (!m_isRead || m_isListing || !m_options.isWriter())
        return;
    std::set<std::string> keys;
    for (const Schema::SharedSoftware &use : uses) {
        const std::string key = keyOf(use);
        keys.insert(key);
        if (!m_storedKeys.contains(key))
            m_writes.write(key, use.service);
    }
    for (const std::string &key : m_storedKeys) {
        if (!keys.contains(key))
            m_writes.write(key, {});
    }
    m_storedKeys = std::move(keys);
    // The era says that all versions have been written in it, so it comes last.
    const bool isEraDue = m_options.timers->clock().now() >= m_eraDueAt && m_writes.isIdle();
    if (m_storedEra != m_era && isEraDue) {
        m_storedEra = m_era;
        m_writes.write(eraKey, absl::StrCat(m_era));
    }
}

} // namespace Lagoonbank::FleetSync
