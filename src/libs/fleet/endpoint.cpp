#include "fleet/endpoint.h"

namespace Lagoonbank::Fleet {

bool isOtherStart(const Endpoint &earlier, const Endpoint &later)
{
    return later.startedAt != earlier.startedAt || later.address != earlier.address;
}

} // namespace Lagoonbank::Fleet
