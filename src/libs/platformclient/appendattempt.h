#pragma once

#include "http/client.h"
#include "platformclient/record.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Lagoonbank::PlatformClient {

/// Result of appending one record.
enum class AppendState : std::uint8_t {
    Appended,
    NotAppended, ///< The log refused the record or could not be reached.
    Unknown ///< Not found in the log in time, but may still appear there.
};

struct AppendOutcome
{
    AppendState state = AppendState::Unknown;
    Base::LogOffset offset; ///< Offset of the first copy if the record was appended.
};

/// Determines the outcome of one append call. If the answer is lost, the caller reads the stream
/// back from its end before the append until the ids of the records appear; nothing is appended
/// twice.
class AppendAttempt
{
public:
    enum class Next : std::uint8_t { Done, ReadBack };

    /// \a end is an offset at or before the end of the stream at the time of the append.
    AppendAttempt(std::span<const Record> records, Base::LogOffset end);

    Next appendEnded(const Http::CallResult &result);
    Next pageRead(const ReadPage &page);

    /// Offset at which to continue reading back.
    Base::LogOffset readFrom() const { return m_readFrom; }
    /// Whether the log refused the append because of its rate limit.
    bool wasRateLimited() const { return m_wasRateLimited; }
    /// One outcome per record, in the order of the records.
    std::vector<AppendOutcome> outcomes() const { return m_outcomes; }

private:
    Next refuse();
    Next accept(std::span<const Base::LogOffset> offsets);

    std::vector<std::string> m_ids;
    std::vector<AppendOutcome> m_outcomes;
    Base::LogOffset m_readFrom;
    bool m_wasRateLimited = false;
};

} // namespace Lagoonbank::PlatformClient
