#pragma once

#include "errors/result.h"
#include "platformclient/record.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Encoding of the bodies of the log's HTTP interface.
namespace Lagoonbank::PlatformClient {

/// Body of an append request; an error if a record is not UTF-8.
Errors::Result<std::string> appendBody(std::span<const Record> records);
/// Offsets from the answer to an append; an error unless there are \a count, in increasing order.
Errors::Result<std::vector<Base::LogOffset>> parseAppendAnswer(std::string_view body,
                                                               std::size_t count);
/// Page from the answer to a read; an error unless its offsets are in increasing order, not below
/// \a from and below `next`.
Errors::Result<ReadPage> parseReadAnswer(std::string_view body, Base::LogOffset from);

} // namespace Lagoonbank::PlatformClient
