#include "fleetsync/quarantinelog.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <optional>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

/// Value of each key that is present; the key carries all information.
constexpr const char *presentValue = "1";

const std::string partPrefix = "part-"; ///< Of the keys of prompt parts.

std::string keyOf(const QuarantineKey &key)
{
    const bool isPart = key.kind == QuarantineKey::Kind::PromptPart;
    return absl::StrCat(isPart ? partPrefix : std::string(), absl::Hex(key.hash, absl::kZeroPad16));
}

std::optional<QuarantineKey> parseKey(const std::string &text)
{
    QuarantineKey key;
    const bool isPart = text.starts_with(partPrefix);
    if (isPart)
        key.kind = QuarantineKey::Kind::PromptPart;
    if (!absl::SimpleHexAtoi(isPart ? text.substr(partPrefix.size()) : text, &key.hash))
        return std::nullopt;
    // The conversion accepts other forms of the number, which name the same quarantine. Only the
    // form that routers write can be deleted when the quarantine ends.
    if (keyOf(key) != text)
        return std::nullopt;
    return key;
}

} // namespace

QuarantineLog::QuarantineLog(Options options)
    : m_options(std::move(options))
    , m_writes({.write = m_options.write, .timers = m_options.timers, .backoff = m_options.backoff})
{ }

QuarantineLog::~QuarantineLog()
{
    for (const auto &[key, timer] : m_dropTimers)
        m_options.timers->cancel(timer);
}

void QuarantineLog::save(const QuarantineKey &key)
{
    scheduleDrop(key);
    m_writes.write(keyOf(key), presentValue);
}

void QuarantineLog::remove(const QuarantineKey &key)
{
    const auto timer = m_dropTimers.find(keyOf(key));
    if (timer != m_dropTimers.end()) {
        m_options.timers->cancel(timer->second);
        m_dropTimers.erase(timer);
    }
    m_writes.write(keyOf(key), {});
}

void QuarantineLog::saveMissing(const std::vector<Quarantine> &quarantines,
                                const KeyedLog::KeyedView::Keys &present)
{
    for (const Quarantine &one : quarantines) {
        if (one.remaining >= m_options.minLeftToSave && !present.contains(keyOf(one.key)))
            save(one.key);
    }
}

void QuarantineLog::recordRead(const KeyedLog::KeyedRecord &record)
{
    const auto key = parseKey(record.key);
    if (!record.value)
        return; // Deleted.
    if (!key) {
        if (unreadable)
            unreadable(record, "the key does not name a quarantine");
        return;
    }
    scheduleDrop(*key);
    if (received)
        received(*key);
}

void QuarantineLog::scheduleDrop(const QuarantineKey &quarantine)
{
    const std::string key = keyOf(quarantine);
    if (m_dropTimers.contains(key))
        return;
    const bool isPart = quarantine.kind == QuarantineKey::Kind::PromptPart;
    const Base::Duration retention = isPart ? m_options.partRetention : m_options.retention;
    m_dropTimers[key] = m_options.timers->start(retention, [this, key] {
        m_dropTimers.erase(key);
        m_writes.write(key, {});
    });
}

} // namespace Lagoonbank::FleetSync
