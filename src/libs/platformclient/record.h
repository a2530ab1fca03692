#pragma once

#include "base/ids.h"

#include <string>
#include <vector>

namespace Lagoonbank::PlatformClient {

/// A record to append. Its id is unique across all writers, so that readers can detect a repeated
/// append of the same record.
struct Record
{
    std::string id;
    std::string data; ///< UTF-8; writers must encode binary content.
};

/// A record as stored in the log.
struct StoredRecord
{
    Base::LogOffset offset;
    std::string id;
    std::string data;
};

/// Result of one read of a stream.
struct ReadPage
{
    Base::LogOffset first; ///< Above the requested offset if retention removed records.
    Base::LogOffset next; ///< Offset for the next read.
    std::vector<StoredRecord> records;
};

} // namespace Lagoonbank::PlatformClient
