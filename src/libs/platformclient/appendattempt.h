#pragma once

#include "http/client.h"
#include "platformclient/record.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Lagoonbank::PlatformClient {

/// What became of one record that was to be appended.
enum class AppendState : std::uint8_t {
    Appended,
    NotAppended, ///< The log refused it or was never reached.
    Unknown ///< It was not found in the log in time, but may still show up.
};

struct AppendOutcome
{
    AppendState state = AppendState::Unknown;
    Base::LogOffset offset; ///< Of the first copy, if it was appended.
};

/// Decides what became of one append call. Where its answer was lost, the stream is read from
/// where it ended before the append until the records' ids show up; nothing is appended twice.
class AppendAttempt
{
public:
    enum class Next : std::uint8_t { Done, Settle };

    /// \a end is an offset at or before the end of the stream when the append was sent.
    AppendAttempt(std::span<const Record> records, Base::LogOffset end);

    Next appendEnded(const Http::CallResult &result);
    Next pageRead(const ReadPage &page);

    /// Where to read on while it is not settled.
    Base::LogOffset readFrom() const { return m_readFrom; }
    /// Whether the log refused it for its rate limit.
    bool wasLimited() const { return m_wasLimited; }
    /// One for each record, in order.
    std::vector<AppendOutcome> outcomes() const { return m_outcomes; }

private:
    Next refuse();
    Next accept(std::span<const Base::LogOffset> offsets);

    std::vector<std::string> m_ids;
    std::vector<AppendOutcome> m_outcomes;
    Base::LogOffset m_readFrom;
    bool m_wasLimited = false;
};

} // namespace Lagoonbank::PlatformClient
