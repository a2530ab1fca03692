#include "timeline/hybridclock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <limits>

namespace Lagoonbank::Timeline {

using Base::WallTime;

namespace {

constexpr std::int64_t msPerSecond = 1000;
constexpr std::int64_t msPerDay = 24LL * 3600 * msPerSecond;
constexpr std::size_t dateLength = 10; // 2026-12-02
constexpr std::size_t timeLength = 12; // 17:48:31.123

std::int64_t toWallMs(WallTime wall)
{
    return std::chrono::floor<std::chrono::milliseconds>(wall).time_since_epoch().count();
}

bool parseDigits(std::string_view text, std::int64_t &number)
{
    for (const char c : text) {
        if (c < '0' || c > '9')
            return false;
    }
    return absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number);
}

std::optional<std::int64_t> parseDate(std::string_view text)
{
    std::int64_t year = 0;
    std::int64_t month = 0;
    std::int64_t day = 0;
    if (text.size() != dateLength || text[4] != '-' || text[7] != '-')
        return std::nullopt;
    if (!parseDigits(text.substr(0, 4), year) || !parseDigits(text.substr(5, 2), month)
        || !parseDigits(text.substr(8, 2), day))
        return std::nullopt;
    const std::chrono::year_month_day date(std::chrono::year(static_cast<int>(year)),
                                           std::chrono::month(static_cast<unsigned>(month)),
                                           std::chrono::day(static_cast<unsigned>(day)));
    if (!date.ok())
        return std::nullopt;
    return std::chrono::sys_days(date).time_since_epoch().count() * msPerDay;
}

std::optional<std::int64_t> parseTime(std::string_view text)
{
    std::int64_t hour = 0;
    std::int64_t minute = 0;
    std::int64_t second = 0;
    std::int64_t ms = 0;
    if (text.size() != timeLength || text[2] != ':' || text[5] != ':' || text[8] != '.')
        return std::nullopt;
    if (!parseDigits(text.substr(0, 2), hour) || !parseDigits(text.substr(3, 2), minute)
        || !parseDigits(text.substr(6, 2), second) || !parseDigits(text.substr(9, 3), ms))
        return std::nullopt;
    if (hour > 23 || minute > 59 || second > 59)
        return std::nullopt;
    return ((hour * 60 + minute) * 60 + second) * msPerSecond + ms;
}

std::string counterText(HybridTime time)
{
    return time.counter == 0 ? std::string() : absl::StrFormat("+%u", time.counter);
}

std::string clockText(std::int64_t msOfDay)
{
    const std::int64_t seconds = msOfDay / msPerSecond;
    return absl::StrFormat("%02d:%02d:%02d.%03d", seconds / 3600, seconds / 60 % 60, seconds % 60,
                           msOfDay % msPerSecond);
}

std::int64_t floorDay(std::int64_t wallMs)
{
    const std::int64_t rest = (wallMs % msPerDay + msPerDay) % msPerDay;
    return wallMs - rest;
}

} // namespace

std::string toString(HybridTime time)
{
    const std::int64_t day = floorDay(time.wallMs);
    const std::chrono::sys_days days{std::chrono::days(day / msPerDay)};
    const std::chrono::year_month_day date(days);
    return absl::StrFormat("%04d-%02u-%02uT%sZ%s", static_cast<int>(date.year()),
                           static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                           clockText(time.wallMs - day), counterText(time));
}

std::string timeOfDay(HybridTime time)
{
    return clockText(time.wallMs - floorDay(time.wallMs)) + counterText(time);
}

std::optional<HybridTime> parseHybridTime(std::string_view text)
{
    constexpr std::size_t zonePosition = dateLength + 1 + timeLength;
    if (text.size() <= zonePosition || text[dateLength] != 'T' || text[zonePosition] != 'Z')
        return std::nullopt;
    const auto date = parseDate(text.substr(0, dateLength));
    const auto time = parseTime(text.substr(dateLength + 1, timeLength));
    if (!date || !time)
        return std::nullopt;
    HybridTime result{.wallMs = *date + *time};
    const std::string_view rest = text.substr(zonePosition + 1);
    if (rest.empty())
        return result;
    std::int64_t counter = 0;
    if (rest.size() < 2 || rest[0] != '+' || !parseDigits(rest.substr(1), counter)
        || counter > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    result.counter = static_cast<std::uint32_t>(counter);
    return result;
}

HybridTime HybridClock::tick(WallTime wall)
{
    const std::int64_t now = toWallMs(wall);
    if (now > m_last.wallMs)
        m_last = {.wallMs = now};
    else if (m_last.counter == std::numeric_limits<std::uint32_t>::max())
        m_last = {.wallMs = m_last.wallMs + 1};
    else
        ++m_last.counter;
    return m_last;
}

bool HybridClock::received(HybridTime remote, WallTime wall)
{
    const std::int64_t latestAcceptedMs = toWallMs(wall) + Base::toMilliseconds(m_maxDrift);
    if (remote.wallMs > latestAcceptedMs) {
        ++m_refused;
        return false;
    }
    if (m_last < remote)
        m_last = remote;
    return true;
}

} // namespace Lagoonbank::Timeline
