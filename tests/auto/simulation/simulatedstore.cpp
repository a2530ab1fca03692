#include "auto/simulation/simulatedstore.h"

#include "base/logoffset.h"

#include <algorithm>
#include <utility>

namespace Simulation {

using namespace Lagoonbank;

namespace {

/// Small, so that even a few endpoints need several pages, which together are not a consistent
/// snapshot.
constexpr std::size_t maxPageRecords = 2;
/// Small, so that a reader needs several reads to catch up after an interruption.
constexpr std::size_t maxTailRecords = 6;

} // namespace

void SimulatedStore::append(Topic topic, const std::string &key, std::optional<std::string> value)
{
    write(log(topic), {key, std::move(value), m_clock.now()});
    if (appended)
        appended(topic);
}

void SimulatedStore::write(Log &log, const Write &write)
{
    const Base::LogOffset offset = end(log);
    Newest &newest = log.keys[write.key];
    const bool isSame = newest.writtenAt != Base::MonoTime() && newest.value == write.value;
    if (!isSame)
        newest.writtenAt = write.time;
    newest.value = write.value;
    newest.offset = offset;
    log.records.push_back({.key = write.key, .value = write.value, .offset = offset});
    log.writes.push_back(write);
}

/// Rebuilds the topics, which thereby also regain trimmed records.
void SimulatedStore::restore(Base::MonoTime time)
{
    m_era += Base::LogEra(1);
    for (Log &log : m_logs) {
        const std::vector<Write> writes = std::exchange(log, {}).writes;
        for (const Write &one : writes) {
            if (one.time <= time)
                write(log, one);
        }
    }
}

Base::LogOffset SimulatedStore::end(const Log &log) const
{
    return Base::makeLogOffset(m_era, log.first + log.records.size());
}

void SimulatedStore::trim(Topic topic)
{
    Log &source = log(topic);
    source.first += source.records.size();
    source.records.clear();
}

KeyedLog::NewestPage SimulatedStore::newest(Topic topic, const std::string &after) const
{
    KeyedLog::NewestPage page{.end = end(log(topic))};
    const Keys &keys = log(topic).keys;
    for (auto key = keys.upper_bound(after); key != keys.end(); ++key) {
        if (!key->second.value)
            continue;
        if (page.records.size() == maxPageRecords) {
            page.hasMore = true;
            break;
        }
        page.records.push_back(
            {.key = key->first, .value = key->second.value, .offset = key->second.offset});
    }
    return page;
}

std::optional<KeyedLog::TailPage> SimulatedStore::tail(Topic topic, Base::LogOffset from) const
{
    const Log &source = log(topic);
    const std::uint64_t position = Base::positionOf(from);
    if (position < source.first || position > source.first + source.records.size())
        return KeyedLog::TailPage{.isOutOfRange = true, .end = Base::makeLogOffset(m_era, 0)};
    const std::size_t begin = position - source.first;
    if (begin == source.records.size())
        return std::nullopt;
    const std::size_t last = std::min(source.records.size(), begin + maxTailRecords);
    return KeyedLog::TailPage{
        .records = {source.records.begin() + static_cast<std::ptrdiff_t>(begin),
                    source.records.begin() + static_cast<std::ptrdiff_t>(last)},
        .end = end(source)};
}

KeyedLog::TailPage SimulatedStore::emptyTail(Topic topic) const
{
    return {.end = end(log(topic))};
}

} // namespace Simulation
