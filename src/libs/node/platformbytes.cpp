#include "node/platformbytes.h"

namespace Lagoonbank::Node {

std::function<void(Base::Bytes sent, Base::Bytes received)>
platformByteCounter(Metrics::Registry &metrics)
{
    return [&metrics](Base::Bytes sent, Base::Bytes received) {
        const auto count = [&metrics](const char *direction, Base::Bytes bytes) {
            metrics.counter("lagoonbank_platform_bytes_total", {{"direction", direction}})
                .increment(static_cast<double>(bytes.value()));
        };
        count("sent", sent);
        count("received", received);
    };
}

} // namespace Lagoonbank::Node
