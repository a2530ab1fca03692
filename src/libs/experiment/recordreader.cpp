#include "experiment/recordreader.h"

#include <nlohmann/json.hpp>

namespace Lagoonbank::Experiment {

namespace {

using Json = nlohmann::json;

std::string textOf(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<std::int64_t> numberOf(const Json &json, const char *key)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_number())
        return std::nullopt;
    return found->get<std::int64_t>();
}

Errors::Ran ranOf(const std::string &text)
{
    if (text == "no")
        return Errors::Ran::No;
    return text == "yes" ? Errors::Ran::Yes : Errors::Ran::Unknown;
}

LedgerEntry entryOf(const Json &json)
{
    return {
        .requestId = textOf(json, "request_id"),
        .key = textOf(json, "key"),
        .state = textOf(json, "state"),
        .startedMs = numberOf(json, "started_ms").value_or(0),
        .cachedTokens = numberOf(json, "cached_tokens"),
        .promptTokens = numberOf(json, "prompt_tokens"),
        .tokens = numberOf(json, "tokens"),
    };
}

/// Reads one outcome. Without an endpoint of its own, it gets that of the last attempt.
OutcomeRecord outcomeOf(const Json &json)
{
    OutcomeRecord record{textOf(json, "request"), textOf(json, "outcome"), textOf(json, "ran"),
                         textOf(json, "endpoint")};
    if (record.requestId.empty())
        record.requestId = textOf(json, "request_id");
    const auto attempts = json.find("attempts");
    const bool hasAttempt = attempts != json.end() && attempts->is_array() && !attempts->empty();
    if (record.endpoint.empty() && hasAttempt && attempts->back().is_object())
        record.endpoint = textOf(attempts->back(), "endpoint");
    return record;
}

const Json *listOf(const Json &json, const char *key)
{
    if (json.is_array())
        return &json;
    if (!json.is_object())
        return nullptr;
    const auto found = json.find(key);
    return found != json.end() && found->is_array() ? &*found : nullptr;
}

} // namespace

Errors::Result<Ledger> readLedger(std::string_view json)
{
    const Json parsed = Json::parse(json, nullptr, false);
    const Json *list = listOf(parsed, "entries");
    if (!list)
        return Errors::makeError(Errors::ErrorKind::BadMessage, "a ledger has 'entries'");
    Ledger ledger;
    ledger.isComplete = !parsed.is_object() || numberOf(parsed, "dropped").value_or(0) == 0;
    ledger.entries.reserve(list->size());
    for (const Json &item : *list) {
        if (!item.is_object())
            continue;
        LedgerEntry entry = entryOf(item);
        if (!entry.requestId.empty())
            ledger.entries.push_back(std::move(entry));
    }
    return ledger;
}

Errors::Result<std::vector<OutcomeRecord>> readOutcomes(std::string_view json)
{
    const Json parsed = Json::parse(json, nullptr, false);
    const Json *list = listOf(parsed, "outcomes");
    if (!list)
        return Errors::makeError(Errors::ErrorKind::BadMessage, "outcomes are a list");
    std::vector<OutcomeRecord> outcomes;
    outcomes.reserve(list->size());
    for (const Json &item : *list) {
        if (!item.is_object())
            continue;
        outcomes.push_back(outcomeOf(item));
    }
    return outcomes;
}

Errors::Result<LoadReport> readLoadReport(std::string_view json)
{
    const Json parsed = Json::parse(json, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("work") || !parsed["work"].is_number())
        return Errors::makeError(Errors::ErrorKind::BadMessage, "a load report has 'work'");
    LoadReport report;
    report.load.work = parsed["work"].get<double>();
    report.load.largestRequest = static_cast<double>(numberOf(parsed, "largest").value_or(0));
    const auto capacity = parsed.find("capacity");
    if (capacity != parsed.end() && capacity->is_number())
        report.load.capacity = capacity->get<double>();
    report.incarnation = numberOf(parsed, "incarnation").value_or(0);
    const auto draining = parsed.find("draining");
    report.isDraining = draining != parsed.end() && draining->is_boolean() && draining->get<bool>();
    return report;
}

std::optional<std::int64_t> readConfigurationOffset(std::string_view json)
{
    const Json parsed = Json::parse(json, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("ready") || parsed["ready"] != true)
        return std::nullopt;
    const auto configuration = parsed.find("configuration");
    if (configuration == parsed.end() || !configuration->is_object())
        return std::nullopt;
    return numberOf(*configuration, "next");
}

std::optional<ErrorBody> readErrorBody(std::string_view json)
{
    const Json parsed = Json::parse(json, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    const auto error = parsed.find("error");
    const Json &body = error == parsed.end() ? parsed : *error;
    if (!body.is_object() || !body.contains("kind"))
        return std::nullopt;
    return ErrorBody{
        .kind = textOf(body, "kind"),
        .limit = textOf(body, "limit"),
        .requestId = textOf(body, "request_id"),
        .ran = ranOf(textOf(body, "ran")),
    };
}

std::optional<std::string> readChatAnswer(std::string_view json)
{
    const Json parsed = Json::parse(json, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    const auto choices = parsed.find("choices");
    if (choices == parsed.end() || !choices->is_array() || choices->empty())
        return std::nullopt;
    const Json &choice = choices->front();
    if (!choice.is_object() || !choice.contains("message") || !choice["message"].is_object())
        return std::nullopt;
    return textOf(choice["message"], "content");
}

} // namespace Lagoonbank::Experiment
