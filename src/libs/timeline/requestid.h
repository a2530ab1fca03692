#pragma once

#include "base/ids.h"
#include "errors/result.h"

#include <cstdint>
#include <string_view>

namespace Lagoonbank::Timeline {

/// The contents of a request id: `<data centre>~<VM>~<incarnation>~<sequence>`. The numbers are in
/// base 36. Names of VMs and data centres may contain dashes and dots, but never tildes.
struct RequestOrigin
{
    Base::DataCentreId dataCentre;
    Base::VmId vm;
    Base::Incarnation incarnation;
    std::uint64_t sequence = 0;

    bool operator==(const RequestOrigin &) const = default;
};

Base::RequestId makeRequestId(const RequestOrigin &origin);
Errors::Result<RequestOrigin> parseRequestId(std::string_view text);

} // namespace Lagoonbank::Timeline
