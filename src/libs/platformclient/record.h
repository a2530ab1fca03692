#pragma once

#include "base/ids.h"

#include <string>
#include <vector>

namespace Lagoonbank::PlatformClient {

/// A record to append. Its id is unique over all writers, so that a reader can tell a repeated
/// append from a new one.
struct Record
{
    std::string id;
    std::string data; ///< UTF-8; binary content has to be encoded by its writer.
};

/// A record as the log keeps it.
struct StoredRecord
{
    Base::LogOffset offset;
    std::string id;
    std::string data;
};

/// What one read of a stream gave.
struct ReadPage
{
    Base::LogOffset first; ///< Above the offset asked for if records were lost by retention.
    Base::LogOffset next; ///< Where to read on.
    std::vector<StoredRecord> records;
};

} // namespace Lagoonbank::PlatformClient
