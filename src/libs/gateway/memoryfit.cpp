#include "gateway/memoryfit.h"

#include <algorithm>

namespace Lagoonbank::Gateway {

namespace {

/// Memory of an endpoint that the request may use, and what others use of it.
struct MemoryView
{
    Base::Tokens memory; ///< Without the memory reserved for other requests.
    double othersRequests = 0;
    double meanTokens = 0;
};

/// Prompts that the endpoint holds beyond those of this router's requests, including the new one.
Base::Tokens promptsOfOthers(const MemoryNeed &need, const EndpointRecord &endpoint)
{
    const Base::Tokens others =
        need.prompts->heldTokens(endpoint.startHash) - endpoint.kvCache.sharedTokens();
    const bool isHeld = need.prompts->find(need.size.prompt, endpoint.startHash) != nullptr;
    return isHeld ? others - (endpoint.kvCache.addedTokens(need.size) - need.size.own) : others;
}

MemoryView viewOf(const MemoryNeed &need, const EndpointRecord &endpoint,
                  const EndpointRegistry &registry, Base::MonoTime now)
{
    const double others = othersRequests(endpoint, registry, now);
    const Base::Tokens othersPrompts = promptsOfOthers(need, endpoint);
    const Base::Tokens reserved =
        need.reservations->reservedTokens(endpoint.startHash, need.request, need.priority, now);
    return {.memory = need.memory - reserved,
            .othersRequests = others,
            .meanTokens = need.means->othersTokens(others, othersPrompts)};
}

} // namespace

double othersRequests(const EndpointRecord &endpoint, const EndpointRegistry &registry,
                      Base::MonoTime now)
{
    const double own = endpoint.inFlight;
    const double all = registry.hasFreshReport(endpoint, now)
        ? registry.fleetLoad(endpoint, now)
        : registry.averageLoad(endpoint.info.service, now).value_or(0);
    // Requests that wait at the endpoint for a slot use no memory.
    const int slots = endpoint.report ? endpoint.report->slots : endpoint.info.slots;
    const double running = slots > 0 ? std::min<double>(all, slots) : all;
    return std::max(0.0, running - own);
}

bool hasFreeMemory(const MemoryNeed &need, const EndpointRecord &endpoint,
                   const EndpointRegistry &registry, Base::MonoTime now)
{
    const MemoryView view = viewOf(need, endpoint, registry, now);
    return endpoint.kvCache.admits(need.size, view.memory, view.othersRequests, view.meanTokens);
}

double missingTokens(const MemoryNeed &need, const EndpointRecord &endpoint,
                     const EndpointRegistry &registry, Base::MonoTime now)
{
    const MemoryView view = viewOf(need, endpoint, registry, now);
    return endpoint.kvCache.excessTokens(need.size, view.memory, view.othersRequests,
                                         view.meanTokens);
}

} // namespace Lagoonbank::Gateway
