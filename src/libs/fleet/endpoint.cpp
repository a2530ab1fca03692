#include "fleet/endpoint.h"

namespace Lagoonbank::Fleet {

bool isRestart(const Endpoint &earlier, const Endpoint &later)
{
    return later.startedAt != earlier.startedAt || later.address != earlier.address;
}

} // namespace Lagoonbank::Fleet
