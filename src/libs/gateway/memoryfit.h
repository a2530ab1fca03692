#pragma once

#include "capacity/kvcachebudget.h"
#include "capacity/requestsizemeans.h"
#include "capacity/tokenreservations.h"
#include "gateway/endpointregistry.h"
#include "gateway/promptdirectory.h"

#include <cstdint>

namespace Lagoonbank::Gateway {

/// The KV cache memory that a request needs at an endpoint, and what the router knows of others
/// that use it.
struct MemoryNeed
{
    Capacity::RequestSize size;
    Base::Tokens memory; ///< KV cache of each endpoint of the service.
    const Capacity::RequestSizeMeans *means = nullptr;
    const Capacity::TokenReservations *reservations = nullptr;
    const PromptDirectory *prompts = nullptr;
    std::uint64_t request = 0; ///< Identifies the request in the reservations.
    int priority = 0; ///< 0 is most urgent.
};

/// Estimated requests of other routers that run at the endpoint. Without a load report within its
/// lifetime, the endpoint is assumed to have the average load of its service.
double othersRequests(const EndpointRecord &endpoint, const EndpointRegistry &registry,
                      Base::MonoTime now);
/// Whether the endpoint has the memory for the request.
bool hasFreeMemory(const MemoryNeed &need, const EndpointRecord &endpoint,
                   const EndpointRegistry &registry, Base::MonoTime now);
/// Tokens that the endpoint lacks for the request.
double missingTokens(const MemoryNeed &need, const EndpointRecord &endpoint,
                     const EndpointRegistry &registry, Base::MonoTime now);

} // namespace Lagoonbank::Gateway
