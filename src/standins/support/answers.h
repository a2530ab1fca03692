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

/// Sends a JSON response; \a headers are added to the content type.
void sendJson(Http::Responder &responder, int status, const nlohmann::json &body,
              Http::Headers headers = {});
/// Sends an error response whose `X-Ran: no` header and body say that the request did not run.
void sendRefusal(Http::Responder &responder, int status, std::string_view reason);
/// Aborts the response after a short delay, so that data already written is sent first.
void abortAfterDelay(Runtime::TimerQueue &timers, ResponderPtr responder);

/// Requests that are never answered. They stay open until the client disconnects or abortAll().
class UnansweredRequests
{
public:
    void add(ResponderPtr responder);
    void abortAll();

private:
    std::vector<ResponderPtr> m_responders;
};

/// Load that a stand-in reports.
struct LoadFigures
{
    std::size_t running = 0;
    std::size_t queued = 0;
    double work = 0;
    double largest = 0; ///< Work of the largest running request; 0 if not reported.
    double capacity = 0;
    Base::Duration age{}; ///< Time since the other values were sampled.
};

/// Value of the `X-Load` header.
std::string loadHeader(const LoadFigures &load);
/// Body of the response to `GET /v1/load`.
nlohmann::json loadBody(const LoadFigures &load, Base::Incarnation incarnation, bool draining);

} // namespace Lagoonbank::Standins
