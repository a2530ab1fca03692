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
    Base::Duration age{}; ///< Of the sample, at the endpoint.
    std::uint64_t running = 0;
    std::uint64_t queued = 0;
    Base::Incarnation incarnation;
    bool isDraining = false;
};

/// Answer of `GET /v1/state`.
struct StateAnswer
{
    Orders::EndpointSettings settings;
    bool isLoading = false; ///< Of weights; engines that don't tell count as done.
};

/// One event of `GET /v1/cache/events`.
struct CacheEvent
{
    std::string chat;
    Base::Tokens tokens;
    bool isStored = false; ///< Else evicted.
};

struct CacheEventPage
{
    std::uint64_t next = 0;
    std::vector<CacheEvent> events;
};

// Unknown keys are passed over; a missing or wrong one is a BadMessage.
Errors::Result<LoadAnswer> readLoadAnswer(std::string_view body);
Errors::Result<StateAnswer> readStateAnswer(std::string_view body);
Errors::Result<CacheEventPage> readCacheEvents(std::string_view body);

/// Body of `POST /v1/order`.
std::string orderBody(const Orders::Order &order, Base::FencingNumber fencing);

} // namespace Lagoonbank::Controller
