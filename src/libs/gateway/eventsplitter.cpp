#include "gateway/eventsplitter.h"

#include "base/parsenumber.h"

namespace Lagoonbank::Gateway {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view eventEndCrLf = "\r\n\r\n";
constexpr std::string_view idField = "id:";
/// Limits the memory of a stream. Events of a few tokens are far smaller.
constexpr std::size_t maxEventBytes = 1024 * 1024;

/// Memory that is kept for the next event after a larger one.
constexpr std::size_t maxKeptCapacity = 16 * 1024;

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
        text.remove_suffix(1);
    return text;
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        if (line.starts_with(idField))
            return Base::parseNumber<std::uint64_t>(trimmed(line.substr(idField.size())));
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return std::nullopt;
}

bool isComment(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        if (!line.empty() && line != "\r" && !line.starts_with(':'))
            return false;
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return true;
}

/// The end of the first event in \a text, searched from \a from; unset if it is incomplete.
std::optional<std::size_t> endOfEvent(std::string_view text, std::size_t from)
{
    const std::size_t plain = text.find(eventEnd, from);
    const std::size_t returns = text.find(eventEndCrLf, from);
    if (plain == std::string_view::npos && returns == std::string_view::npos)
        return std::nullopt;
    return plain < returns ? plain + eventEnd.size() : returns + eventEndCrLf.size();
}

} // namespace

bool EventSplitter::read(std::string_view piece,
                         const std::function<void(const Event &event)> &event)
{
    m_remainder.append(piece);
    std::size_t start = 0;
    std::size_t from = m_searchedBytes;
    while (const auto end = endOfEvent(m_remainder, from)) {
        const std::string_view bytes = std::string_view(m_remainder).substr(start, *end - start);
        event({bytes, idOf(bytes), isComment(bytes)});
        start = *end;
        from = start;
    }
    m_remainder.erase(0, start);
    if (m_remainder.empty() && m_remainder.capacity() > maxKeptCapacity)
        m_remainder.shrink_to_fit();
    const std::size_t overlap = eventEndCrLf.size() - 1;
    m_searchedBytes = m_remainder.size() > overlap ? m_remainder.size() - overlap : 0;
    return m_remainder.size() <= maxEventBytes;
}

void EventSplitter::clear()
{
    m_remainder = {};
    m_searchedBytes = 0;
}

} // namespace Lagoonbank::Gateway
