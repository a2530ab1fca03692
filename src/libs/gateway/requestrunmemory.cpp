#include "gateway/requestrun.h"

#include "routing/rendezvous.h"

#include <algorithm>

namespace Lagoonbank::Gateway {

namespace {

using Errors::ErrorKind;

/// Limit of a declared length. It is above the memory of any engine, and sums of it do not
/// overflow.
constexpr Base::Tokens maximumTokens{1'000'000'000'000};

Base::Tokens toPlausible(Base::Tokens declared)
{
    return std::clamp(declared, Base::Tokens(), maximumTokens);
}

} // namespace

std::optional<Base::Tokens> RequestRun::declaredOwnTokens() const
{
    const std::optional<Prompt> &prompt = m_request.prompt;
    const bool isDeclared = prompt && prompt->promptTokens > Base::Tokens();
    if (!isDeclared)
        return std::nullopt;
    // A part that is longer than the declared prompt is believed.
    const Base::Tokens lastPart =
        prompt->parts.empty() ? Base::Tokens() : toPlausible(prompt->parts.back().tokens);
    const Base::Tokens rest = toPlausible(prompt->promptTokens) - toPlausible(sharedTokens());
    return std::max(rest, lastPart) + toPlausible(prompt->maxOutput);
}

std::optional<Capacity::RequestSize> RequestRun::memorySize() const
{
    if (m_gateway.limitingMemoryOf(m_service) <= Base::Tokens())
        return std::nullopt;
    const std::optional<Base::Tokens> declared = declaredOwnTokens();
    return Capacity::RequestSize{
        .prompt = affinity().value_or(0),
        .shared = toPlausible(sharedTokens()),
        .own = declared ? *declared : m_gateway.m_requestSizes[m_service].ownTokens(sizeKind())};
}

std::uint64_t RequestRun::sizeKind() const
{
    return Routing::stableHash(m_route->name);
}

bool RequestRun::exceedsMemory()
{
    if (!m_size || m_size->total() <= m_gateway.limitingMemoryOf(m_service))
        return false;
    if (m_gateway.m_options.log->shouldLogRequest()) {
        m_gateway.m_options.log->request(
            "gateway", "The request exceeds the memory of an endpoint.",
            {{"request", m_request.id.value()},
             {"route", m_route->name},
             {"needed_tokens", m_size->total().value()},
             {"memory_tokens", m_gateway.limitingMemoryOf(m_service).value()}});
    }
    fail({.kind = ErrorKind::Overloaded, .mayHaveReached = false, .mayHaveRun = false});
    return true;
}

std::optional<MemoryNeed> RequestRun::memoryNeed() const
{
    const Base::Tokens memory = m_gateway.limitingMemoryOf(m_service);
    if (!m_size || memory <= Base::Tokens())
        return std::nullopt;
    return MemoryNeed{.size = *m_size,
                      .memory = memory,
                      .means = &m_gateway.m_requestSizes[m_service],
                      .reservations = &m_gateway.m_tokenReservations,
                      .prompts = &m_gateway.m_prompts,
                      .request = m_requestHash,
                      .priority = m_priority};
}

void RequestRun::noteMemoryUse()
{
    if (!m_size)
        return;
    m_attempt->size = m_size;
    m_attempt->endpoint->kvCache.requestSent(*m_size);
    const bool isFirstSend = m_triedEndpoints.size() == 1;
    if (isFirstSend && declaredOwnTokens())
        m_gateway.m_requestSizes[m_service].record(sizeKind(), *m_size);
}

bool RequestRun::awaitMemory(const PlacementResult &placement)
{
    m_awaitsMemory = m_size && placement.memoryLacking;
    if (!m_awaitsMemory || !m_queuedAt)
        return false;
    const Base::MonoTime now = m_timers.clock().now();
    Capacity::TokenReservations &reservations = m_gateway.m_tokenReservations;
    const EndpointRecord &endpoint = *placement.memoryLacking;
    if (reservations.isDue(now - *m_queuedAt, m_route->targetLatency)) {
        reservations.reserve(endpoint.startHash,
                             {.request = m_requestHash,
                              .tokens = endpoint.kvCache.addedTokens(*m_size),
                              .priority = m_priority,
                              .madeAt = now},
                             m_gateway.limitingMemoryOf(m_service));
    }
    if (!m_queueTicket || m_queueTicket->queueId.awaitsMemory)
        return false;
    waitInQueue(queuePriority()); // Leaves the queue for a slot once this returns true.
    return true;
}

} // namespace Lagoonbank::Gateway
