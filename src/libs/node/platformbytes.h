#pragma once

#include "base/units.h"
#include "metrics/registry.h"

#include <functional>

namespace Lagoonbank::Node {

/// Returns a function for PlatformClient::HttpTransportOptions::metered that counts traffic with
/// the platform in lagoonbank_platform_bytes_total of \a metrics.
std::function<void(Base::Bytes sent, Base::Bytes received)>
platformByteCounter(Metrics::Registry &metrics);

} // namespace Lagoonbank::Node
