#pragma once

#include "errors/errorkind.h"

#include <boost/outcome/result.hpp>

#include <ostream>
#include <string>
#include <utility>

namespace Lagoonbank::Errors {

/// An error kind with the details of one occurrence.
struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string detail; ///< What is wrong and what is expected; never keys, prompts or tokens.
    Ran ran = Ran::Unknown;
};

inline Error makeError(ErrorKind kind, std::string detail = {})
{
    return {kind, std::move(detail), errorRow(kind).ran};
}

inline std::ostream &operator<<(std::ostream &stream, const Error &error)
{
    stream << toString(error.kind);
    if (!error.detail.empty())
        stream << ": " << error.detail;
    return stream;
}

/// A value or an Error; accessing the one that is not set is a programming error and terminates.
template<typename T>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

} // namespace Lagoonbank::Errors
