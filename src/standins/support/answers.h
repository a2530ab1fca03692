#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "http/server.h"
#include "runtime/timerqueue.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Standins {

using ResponderPtr = std::shared_ptr<Http::Responder>;

constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int httpTooManyRequests = 429;
constexpr int httpUnavailable = 503;

/// Answers with JSON; \a headers are sent besides the content type.
void sendJson(Http::Responder &responder, int status, const nlohmann::json &body,
              Http::Headers headers = {});
/// Answers that the request did not run, by `X-Ran: no` and in the body.
void sendRefusal(Http::Responder &responder, int status, std::string_view why);
/// Breaks the answer off once what was written has had time to leave.
void breakOffSoon(Runtime::TimerQueue &timers, ResponderPtr responder);

/// Exchanges that are never answered. They stay open until the caller leaves.
class SilentExchanges
{
public:
    void add(ResponderPtr responder);
    void abortAll();

private:
    std::vector<ResponderPtr> m_responders;
};

/// What a stand-in reports as its load.
struct LoadFigures
{
    std::size_t running = 0;
    std::size_t queued = 0;
    double work = 0;
    double largest = 0; ///< Work of the largest request; 0 if it is not told.
    double capacity = 0;
    Base::Duration age{};
};

/// The value of the header `X-Load`.
std::string loadHeader(const LoadFigures &load);
/// The body of `GET /v1/load`.
nlohmann::json loadBody(const LoadFigures &load, Base::Incarnation incarnation, bool draining);

} // namespace Lagoonbank::Standins
