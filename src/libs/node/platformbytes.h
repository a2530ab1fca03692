#pragma once

#include "base/units.h"
#include "metrics/registry.h"

#include <functional>

namespace Lagoonbank::Node {

/// Counts the traffic with the platform in lagoonbank_platform_bytes_total of \a metrics; for
/// PlatformClient::HttpTransportOptions::metered.
std::function<void(Base::Bytes sent, Base::Bytes received)>
platformByteCounter(Metrics::Registry &metrics);

} // namespace Lagoonbank::Node
