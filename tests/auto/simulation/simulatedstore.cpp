#include "auto/simulation/simulatedstore.h"

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
    Log &target = log(topic);
    const Base::LogOffset offset = target.end();
    Newest &newest = target.keys[key];
    const bool isSame = newest.writtenAt != Base::MonoTime() && newest.value == value;
    if (!isSame)
        newest.writtenAt = m_clock.now();
    newest.value = value;
    newest.offset = offset;
    target.records.push_back({.key = key, .value = std::move(value), .offset = offset});
    if (appended)
        appended(topic);
}

void SimulatedStore::trim(Topic topic)
{
    Log &source = log(topic);
    source.first += source.records.size();
    source.records.clear();
}

KeyedLog::NewestPage SimulatedStore::newest(Topic topic, const std::string &after) const
{
    KeyedLog::NewestPage page{.end = log(topic).end()};
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
    if (from.value() < source.first)
        return KeyedLog::TailPage{.isOutOfRange = true};
    const std::size_t begin = from.value() - source.first;
    if (begin >= source.records.size())
        return std::nullopt;
    const std::size_t end = std::min(source.records.size(), begin + maxTailRecords);
    return KeyedLog::TailPage{
        .records = {source.records.begin() + static_cast<std::ptrdiff_t>(begin),
                    source.records.begin() + static_cast<std::ptrdiff_t>(end)},
        .end = source.end()};
}

KeyedLog::TailPage SimulatedStore::emptyTail(Topic topic) const
{
    return {.end = log(topic).end()};
}

} // namespace Simulation
