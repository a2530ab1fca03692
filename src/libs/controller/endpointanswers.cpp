#include "controller/endpointanswers.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <optional>

namespace Lagoonbank::Controller {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t maxSampleAgeMs = std::int64_t{24} * 60 * 60 * 1000;

Errors::Error badAnswer(const char *what)
{
    return Errors::makeError(Errors::ErrorKind::BadMessage, what);
}

std::optional<std::string> textOf(const Json &json, const char *key)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_string())
        return std::nullopt;
    return found->get<std::string>();
}

std::uint64_t countOf(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

bool flagOf(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_boolean() && found->get<bool>();
}

} // namespace

Errors::Result<LoadAnswer> readLoadAnswer(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("work") || !json["work"].is_number())
        return badAnswer("the load report has no work");
    const double work = json["work"].get<double>();
    const std::uint64_t age = countOf(json, "age_ms");
    if (!std::isfinite(work) || work < 0 || age > maxSampleAgeMs)
        return badAnswer("the load report is out of range");
    return LoadAnswer{.work = Base::WorkUnits(work),
                      .sampleAge = std::chrono::milliseconds(age),
                      .running = countOf(json, "running"),
                      .queued = countOf(json, "queued"),
                      .incarnation = Base::Incarnation(countOf(json, "incarnation")),
                      .isDraining = flagOf(json, "draining")};
}

Errors::Result<StateAnswer> readStateAnswer(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("draining") || !json["draining"].is_boolean())
        return badAnswer("the state has no boolean draining field");
    return StateAnswer{.settings = {.model = textOf(json, "model"),
                                    .adapter = textOf(json, "adapter"),
                                    .version = textOf(json, "version"),
                                    .role = textOf(json, "role"),
                                    .draining = flagOf(json, "draining")},
                       .isLoading = flagOf(json, "loading")};
}

Errors::Result<CacheEventPage> readCacheEvents(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("events") || !json["events"].is_array())
        return badAnswer("the cache events contain no list");
    CacheEventPage page{.next = countOf(json, "next")};
    for (const Json &event : json["events"]) {
        const auto op = textOf(event, "op");
        const auto chat = textOf(event, "chat");
        if (!op || !chat)
            return badAnswer("a cache event has no op or no chat");
        const auto tokens = static_cast<std::int64_t>(countOf(event, "tokens"));
        page.events.push_back(
            {.chat = *chat, .tokens = Base::Tokens(tokens), .isStored = *op == "stored"});
    }
    return page;
}

std::string orderBody(const Orders::Order &order, Base::FencingNumber fencing)
{
    Json set = Json::object();
    const auto add = [&set](const char *key, const auto &value) {
        if (value)
            set[key] = *value;
    };
    add("model", order.set.model);
    add("adapter", order.set.adapter);
    add("version", order.set.version);
    add("role", order.set.role);
    add("draining", order.set.draining);
    const Json body{{"fencing", fencing.value()}, {"order_id", order.id}, {"set", std::move(set)}};
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace Lagoonbank::Controller
