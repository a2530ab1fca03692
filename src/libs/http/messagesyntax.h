#pragma once

#include "base/text.h"
#include "http/headers.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

/// Syntax shared by requests and answers of HTTP/1.1 (RFC 9112). Ambiguous syntax is rejected.
namespace Lagoonbank::Http::Internal {

using Base::lowered;
using Base::trimmed;

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
/// More header fields than any sender needs; limits the memory for one head.
constexpr std::size_t maxHeaderFields = 200;

/// Parses a number of digits only, without sign, space or list. Returns false if \a text is
/// anything else or too large.
bool readNumber(std::string_view text, int base, std::uint64_t &number);
/// Adds one field line, given without its line end, to \a headers. Returns false if the line is
/// folded, has a space before the colon or a control character, or exceeds maxHeaderFields.
bool readField(std::string_view line, Headers &headers);
/// Parses the lines of a complete head, each with its line end: the first one with \a readFirst,
/// the others as fields into \a headers. Returns false if a line is malformed.
bool readHeadLines(std::string_view head,
                   const std::function<bool(std::string_view line)> &readFirst, Headers &headers);
/// Whether answers of this status never have a body.
bool hasNoBody(int status);
/// Whether the comma-separated list \a value contains \a token, given in lower case.
bool containsToken(std::string_view value, std::string_view token);

} // namespace Lagoonbank::Http::Internal
