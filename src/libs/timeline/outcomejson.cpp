#include "timeline/outcome.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace Lagoonbank::Timeline {

using Errors::ErrorKind;
using Errors::Ran;
using Json = nlohmann::ordered_json;

namespace {

void putIfSet(Json &json, const char *name, const std::string &value)
{
    if (!value.empty())
        json[name] = value;
}

Json attemptToJson(const OutcomeAttempt &attempt)
{
    Json json{{"endpoint", attempt.endpoint.value()}, {"started_ms", attempt.startedMs}};
    if (attempt.endedMs)
        json["ended_ms"] = *attempt.endedMs;
    putIfSet(json, "result", attempt.result);
    return json;
}

OutcomeAttempt attemptFromJson(const Json &json)
{
    OutcomeAttempt attempt{.endpoint = Base::EndpointId(json.at("endpoint").get<std::string>()),
                           .startedMs = json.at("started_ms").get<std::int64_t>(),
                           .result = json.value("result", std::string())};
    if (json.contains("ended_ms"))
        attempt.endedMs = json["ended_ms"].get<std::int64_t>();
    return attempt;
}

std::optional<Ran> ranFromName(std::string_view name)
{
    for (const Ran ran : std::array{Ran::No, Ran::Yes, Ran::Unknown}) {
        if (Errors::toString(ran) == name)
            return ran;
    }
    return std::nullopt;
}

bool readEnd(const Json &json, OutcomeEnd &end)
{
    const auto kind = Schema::enumFromName<OutcomeKind>(json.at("outcome").get<std::string>());
    const auto ran = ranFromName(json.at("ran").get<std::string>());
    if (!kind || !ran)
        return false;
    end.kind = *kind;
    end.ran = *ran;
    if (json.contains("cause")) {
        end.cause = Errors::errorKindFromName(json["cause"].get<std::string>());
        if (!end.cause)
            return false;
    }
    end.limit = json.value("limit", std::string());
    end.source = json.value("contract", std::string());
    end.status = json.value("status", 0);
    return true;
}

} // namespace

Json toJson(const Outcome &outcome)
{
    const OutcomeEnd &end = outcome.end;
    Json json{{"request", outcome.request.value()}};
    putIfSet(json, "workspace", outcome.workspace.value());
    if (outcome.key)
        json["idempotency_key"] = outcome.key->value();
    json["model_call"] = outcome.isModelCall;
    json["idempotent"] = outcome.idempotent;
    json["started_wall_ms"] = outcome.startedWallMs;
    if (outcome.tookMs)
        json["took_ms"] = *outcome.tookMs;
    json["outcome"] = toString(end.kind);
    json["ran"] = toString(end.ran);
    if (end.cause)
        json["cause"] = toString(*end.cause);
    putIfSet(json, "limit", end.limit);
    putIfSet(json, "contract", end.source);
    if (end.status != 0)
        json["status"] = end.status;
    json["attempts"] = Json::array();
    for (const OutcomeAttempt &attempt : outcome.attempts)
        json["attempts"].push_back(attemptToJson(attempt));
    return json;
}

Errors::Result<Outcome> outcomeFromJson(const Json &json)
{
    try {
        Outcome outcome{.request = Base::RequestId(json.at("request").get<std::string>()),
                        .workspace = Base::WorkspaceId(json.value("workspace", std::string()))};
        if (json.contains("idempotency_key"))
            outcome.key = Base::IdempotencyKey(json["idempotency_key"].get<std::string>());
        outcome.isModelCall = json.value("model_call", true);
        outcome.idempotent = json.value("idempotent", true);
        outcome.startedWallMs = json.at("started_wall_ms").get<std::int64_t>();
        if (json.contains("took_ms"))
            outcome.tookMs = json["took_ms"].get<std::int64_t>();
        if (!readEnd(json, outcome.end))
            return Errors::makeError(ErrorKind::BadMessage, "An outcome has an unknown kind.");
        for (const Json &attempt : json.at("attempts"))
            outcome.attempts.push_back(attemptFromJson(attempt));
        return outcome;
    } catch (const Json::exception &error) {
        return Errors::makeError(ErrorKind::BadMessage, error.what());
    }
}

} // namespace Lagoonbank::Timeline
