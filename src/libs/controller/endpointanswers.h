#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "errors/result.h"
#include "orders/orderplan.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Controller {

/// Answer of `GET /v1/load`.
struct LoadAnswer
{
    Base::WorkUnits work;
    Base::Duration sampleAge{}; ///< Age of the sample when the endpoint sent it.
    std::uint64_t running = 0;
    std::uint64_t queued = 0;
    Base::Incarnation incarnation;
    bool isDraining = false;
};

/// Answer of `GET /v1/state`.
struct StateAnswer
{
    Orders::EndpointSettings settings;
    /// Whether weights are loading; false if the engine does not report it.
    bool isLoading = false;
};

/// One event of `GET /v1/cache/events`.
struct CacheEvent
{
    std::string chat;
    Base::Tokens tokens;
    bool isStored = false; ///< False if the prefix was evicted.
};

struct CacheEventPage
{
    std::uint64_t next = 0; ///< Offset at which the next page starts.
    std::vector<CacheEvent> events;
};

// These functions ignore unknown keys; a missing required key or an invalid value of one is a
// BadMessage error.
Errors::Result<LoadAnswer> readLoadAnswer(std::string_view body);
Errors::Result<StateAnswer> readStateAnswer(std::string_view body);
Errors::Result<CacheEventPage> readCacheEvents(std::string_view body);

/// Body of `POST /v1/order`.
std::string orderBody(const Orders::Order &order, Base::FencingNumber fencing);

} // namespace Lagoonbank::Controller
