#include "platformclient/appendattempt.h"

#include "platformclient/logprotocol.h"

#include <algorithm>

namespace Lagoonbank::PlatformClient {

namespace {

constexpr int statusOk = 200;
constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

/// Whether the status means that the log appended nothing.
bool isRefusal(int status)
{
    return (status >= 400 && status < 500) || status == statusUnavailable;
}

} // namespace

AppendAttempt::AppendAttempt(std::span<const Record> records, Base::LogOffset end)
    : m_outcomes(records.size())
    , m_readFrom(end)
{
    m_ids.reserve(records.size());
    for (const Record &record : records)
        m_ids.push_back(record.id);
}

AppendAttempt::Next AppendAttempt::appendEnded(const Http::CallResult &result)
{
    if (!result.mayHaveBeenSent && result.status == 0)
        return refuse();
    if (result.end != Http::CallEnd::Whole)
        return Next::ReadBack;
    if (isRefusal(result.status)) {
        m_wasRateLimited = result.status == statusTooManyRequests;
        return refuse();
    }
    if (result.status != statusOk)
        return Next::ReadBack;
    const auto offsets = parseAppendAnswer(result.body, m_ids.size());
    if (!offsets)
        return Next::ReadBack;
    return accept(offsets.value());
}

AppendAttempt::Next AppendAttempt::pageRead(const ReadPage &page)
{
    for (const StoredRecord &record : page.records) {
        const auto found = std::find(m_ids.begin(), m_ids.end(), record.id);
        if (found == m_ids.end())
            continue;
        AppendOutcome &outcome = m_outcomes[static_cast<std::size_t>(found - m_ids.begin())];
        if (outcome.state != AppendState::Appended)
            outcome = {AppendState::Appended, record.offset};
    }
    m_readFrom = std::max(m_readFrom, page.next);
    const bool all = std::all_of(m_outcomes.begin(), m_outcomes.end(), [](const auto &outcome) {
        return outcome.state == AppendState::Appended;
    });
    return all ? Next::Done : Next::ReadBack;
}

AppendAttempt::Next AppendAttempt::refuse()
{
    for (AppendOutcome &outcome : m_outcomes)
        outcome.state = AppendState::NotAppended;
    return Next::Done;
}

AppendAttempt::Next AppendAttempt::accept(std::span<const Base::LogOffset> offsets)
{
    for (std::size_t i = 0; i < offsets.size(); ++i)
        m_outcomes[i] = {AppendState::Appended, offsets[i]};
    return Next::Done;
}

} // namespace Lagoonbank::PlatformClient
