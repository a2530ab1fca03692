#include "auto/simulation/simulatedstore.h"

#include <algorithm>
#include <utility>

namespace Simulation {

using namespace Lagoonbank;

namespace {

/// Few, so that a handful of endpoints makes several pages, which are no snapshot together.
constexpr std::size_t pageRecords = 2;
/// Few, so that a reader that was away is behind for several reads.
constexpr std::size_t tailRecords = 6;

} // namespace

void SimulatedStore::append(Topic topic, const std::string &key, std::optional<std::string> value)
{
    Log &to = log(topic);
    const Base::LogOffset offset = to.end();
    Newest &newest = to.keys[key];
    const bool isSame = newest.writtenAt != Base::MonoTime() && newest.value == value;
    if (!isSame)
        newest.writtenAt = m_clock.now();
    newest.value = value;
    newest.offset = offset;
    to.records.push_back({.key = key, .value = std::move(value), .offset = offset});
    if (appended)
        appended(topic);
}

void SimulatedStore::trim(Topic topic)
{
    Log &of = log(topic);
    of.first += of.records.size();
    of.records.clear();
}

KeyedLog::NewestPage SimulatedStore::newest(Topic topic, const std::string &after) const
{
    KeyedLog::NewestPage page{.end = log(topic).end()};
    const Keys &keys = log(topic).keys;
    for (auto one = keys.upper_bound(after); one != keys.end(); ++one) {
        if (!one->second.value)
            continue;
        if (page.records.size() == pageRecords) {
            page.hasMore = true;
            break;
        }
        page.records.push_back(
            {.key = one->first, .value = one->second.value, .offset = one->second.offset});
    }
    return page;
}

std::optional<KeyedLog::TailPage> SimulatedStore::tail(Topic topic, Base::LogOffset from) const
{
    const Log &of = log(topic);
    if (from.value() < of.first)
        return KeyedLog::TailPage{.isOutOfRange = true};
    const std::size_t begin = from.value() - of.first;
    if (begin >= of.records.size())
        return std::nullopt;
    const std::size_t end = std::min(of.records.size(), begin + tailRecords);
    return KeyedLog::TailPage{.records = {of.records.begin() + static_cast<std::ptrdiff_t>(begin),
                                          of.records.begin() + static_cast<std::ptrdiff_t>(end)},
                              .end = of.end()};
}

KeyedLog::TailPage SimulatedStore::emptyTail(Topic topic) const
{
    return {.end = log(topic).end()};
}

} // namespace Simulation
