#include "standins/support/answers.h"

#include <cmath>
#include <utility>

namespace Lagoonbank::Standins {

namespace {

constexpr Base::Duration abortDelay = std::chrono::milliseconds(5);

} // namespace

void sendJson(Http::Responder &responder, int status, const nlohmann::json &body,
              Http::Headers headers)
{
    headers.add("content-type", "application/json");
    responder.send(status, headers,
                   body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void sendRefusal(Http::Responder &responder, int status, std::string_view reason)
{
    sendJson(responder, status, {{"error", reason}, {"ran", "no"}}, {{"x-ran", "no"}});
}

void abortAfterDelay(Runtime::TimerQueue &timers, ResponderPtr responder)
{
    timers.start(abortDelay, [responder = std::move(responder)] { responder->abort(); });
}

void UnansweredRequests::add(ResponderPtr responder)
{
    std::erase_if(m_responders, [](const ResponderPtr &held) { return held->isDisconnected(); });
    m_responders.push_back(std::move(responder));
}

void UnansweredRequests::abortAll()
{
    for (const ResponderPtr &responder : m_responders)
        responder->abort();
    m_responders.clear();
}

std::string loadHeader(const LoadFigures &load)
{
    return "work=" + std::to_string(std::llround(load.work))
        + ";age=" + std::to_string(Base::toMilliseconds(load.age))
        + ";running=" + std::to_string(load.running) + ";queued=" + std::to_string(load.queued)
        + ";capacity=" + std::to_string(std::llround(load.capacity));
}

nlohmann::json loadBody(const LoadFigures &load, Base::Incarnation incarnation, bool draining)
{
    return {{"running", load.running},
            {"queued", load.queued},
            {"work", std::llround(load.work)},
            {"largest", std::llround(load.largest)},
            {"age_ms", Base::toMilliseconds(load.age)},
            {"capacity", std::llround(load.capacity)},
            {"incarnation", incarnation.value()},
            {"draining", draining}};
}

} // namespace Lagoonbank::Standins
