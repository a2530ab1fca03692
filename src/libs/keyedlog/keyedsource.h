#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/result.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::KeyedLog {

/// A record of a log with keyed records.
struct KeyedRecord
{
    std::string key;
    std::optional<std::string> value; ///< Not set if the record drops the key.
    Base::LogOffset offset;
};

/// Reports a record that cannot be read, and why.
using UnreadableRecord = std::function<void(const KeyedRecord &record, std::string_view reason)>;

/// One page of a listing of the newest record of each key, in the order of the keys. Pages are read
/// one after the other, so a listing of several pages is not a consistent snapshot.
struct NewestPage
{
    std::vector<KeyedRecord> records;
    bool hasMore = false;
    Base::LogOffset end; ///< Offset that the next appended record will have.
    /// Last key of the page. Empty if it is the key of the last record; others are set if the last
    /// records were skipped because they cannot be read.
    std::string lastKey{};

    /// Returns the key after which the next page begins; not set if there is no next page.
    std::optional<std::string> nextAfter() const
    {
        if (!hasMore || (records.empty() && lastKey.empty()))
            return std::nullopt;
        return lastKey.empty() ? records.back().key : lastKey;
    }
};

/// Consecutive records, beginning at the requested position. If the log has been restored from an
/// older copy since that position was read, the offsets are of a later era, and the records do not
/// follow those before the position.
struct TailPage
{
    /// The log has no record at the requested position: it is no longer retained, or the log ends
    /// before it. The page has no records.
    bool isOutOfRange = false;
    std::vector<KeyedRecord> records;
    /// Offset that the next appended record will have; if the position is out of range, only its
    /// era is valid.
    Base::LogOffset end;
    /// Offset after the last record of the page. Zero if that is one of the records; others are set
    /// if the last records were skipped because they cannot be read.
    Base::LogOffset next{};

    /// Returns the position at which the next page begins, for a page read at \a position.
    Base::LogOffset nextPosition(Base::LogOffset position) const
    {
        for (const KeyedRecord &record : records)
            position = std::max(position, record.offset + Base::LogOffset(1));
        return std::max(position, next);
    }
};

using ReadId = Base::StrongNumber<struct KeyedReadIdTag, std::uint64_t>;

/// Read access to a keyed log. Each callback is called once, never from within the call that it was
/// passed to, and not after the read was cancelled.
struct KeyedSource
{
    /// Lists the newest records of the keys after \a after, or of all keys if it is empty.
    std::function<ReadId(const std::string &after,
                         std::function<void(Errors::Result<NewestPage>)> read)>
        readNewest;
    /// Reads records from offset \a from on. Waits up to \a wait if there are none yet.
    std::function<ReadId(Base::LogOffset from, Base::Duration wait,
                         std::function<void(Errors::Result<TailPage>)> read)>
        readTail;
    std::function<void(ReadId read)> cancel;
};

/// Appends a new value of a key. The callback is called once, asynchronously. After an error the
/// record may have been written already or may still be written.
using KeyedWrite = std::function<void(const std::string &key, const std::string &value,
                                      std::function<void(Errors::Result<void>)> written)>;

} // namespace Lagoonbank::KeyedLog
