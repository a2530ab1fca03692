#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::KeyedLog {

/// One record of a log whose records have keys.
struct KeyedRecord
{
    std::string key;
    std::optional<std::string> value; ///< Nothing: the key is dropped.
    Base::LogOffset offset;
};

/// A part of the newest record of each key, in the order of the keys. Several are no snapshot.
struct NewestPage
{
    std::vector<KeyedRecord> records;
    bool hasMore = false;
    Base::LogOffset end; ///< Offset of the next record to be written.
};

/// Records from an offset on.
struct TailPage
{
    /// Records at the offset asked for are not kept any more; there are none in the page.
    bool isOutOfRange = false;
    std::vector<KeyedRecord> records;
    Base::LogOffset end; ///< Offset of the next record to be written.
};

using ReadId = Base::StrongNumber<struct KeyedReadIdTag, std::uint64_t>;

/// How a keyed log is read. The hooks that are handed in are called once, never from within the
/// call, and not after a cancel.
struct KeyedSource
{
    /// Reads keys behind \a after; from the first one if it is empty.
    std::function<ReadId(const std::string &after,
                         std::function<void(Errors::Result<NewestPage>)> read)>
        readNewest;
    /// Waits up to \a wait for a record at or behind \a from.
    std::function<ReadId(Base::LogOffset from, Base::Duration wait,
                         std::function<void(Errors::Result<TailPage>)> read)>
        readTail;
    std::function<void(ReadId read)> cancel;
};

/// Writes the newest value of a key; the hook that is handed in is called once, later. After an
/// error the record may have been written or may be written yet.
using KeyedWrite = std::function<void(const std::string &key, const std::string &value,
                                      std::function<void(Errors::Result<void>)> written)>;

} // namespace Lagoonbank::KeyedLog
