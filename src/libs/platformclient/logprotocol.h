#pragma once

#include "errors/result.h"
#include "platformclient/record.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Bodies of the log's HTTP interface.
namespace Lagoonbank::PlatformClient {

/// Body of an append; an error if a record is not UTF-8.
Errors::Result<std::string> appendBody(std::span<const Record> records);
/// Offsets from an append's answer; an error unless there are \a count and they go up.
Errors::Result<std::vector<Base::LogOffset>> parseAppendAnswer(std::string_view body,
                                                               std::size_t count);
/// Page from a read's answer; an error unless its offsets are at or after \a from, in order, and
/// below `next`.
Errors::Result<ReadPage> parseReadAnswer(std::string_view body, Base::LogOffset from);

} // namespace Lagoonbank::PlatformClient
