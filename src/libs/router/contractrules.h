#pragma once

#include "admission/limits.h"
#include "base/ids.h"
#include "schema/generated/configuration.h"

#include <string>
#include <string_view>

namespace Lagoonbank::Router {

/// SHA-256 of a bearer key in lower-case hexadecimal digits, the form in which contracts store
/// keys.
std::string keyHash(std::string_view bearerKey);

/// The limits of a contract, each with the line of the contract that sets it.
Admission::WorkspaceLimits toWorkspaceLimits(const Schema::Contract &contract);

/// Whether the contract says that this call of a service must run at most once.
bool isNonIdempotent(const Schema::Contract &contract, const Base::ServiceId &service,
                     std::string_view method, std::string_view path);

} // namespace Lagoonbank::Router
