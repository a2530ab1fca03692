#include "exchange/answers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace Lagoonbank::Exchange {

namespace {

using Json = nlohmann::ordered_json;

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json usage(const StreamDone &done)
{
    return {{"prompt_tokens", done.promptTokens.value()},
            {"completion_tokens", done.tokens.value()},
            {"total_tokens", done.promptTokens.value() + done.tokens.value()},
            {"prompt_tokens_details", {{"cached_tokens", done.cachedTokens.value()}}}};
}

Json chunk(const Base::RequestId &request, const Base::ModelId &model, Json delta, Json finish)
{
    return {
        {"id", request.value()},
        {"object", "chat.completion.chunk"},
        {"model", model.value()},
        {"choices",
         Json::array(
             {{{"index", 0}, {"delta", std::move(delta)}, {"finish_reason", std::move(finish)}}})}};
}

std::string event(const Json &json)
{
    return "data: " + dump(json) + "\n\n";
}

} // namespace

std::string refusalBody(const Refusal &refusal, const Base::RequestId &request)
{
    const Errors::ErrorRow &row = Errors::errorRow(refusal.error.kind);
    std::string message(row.text);
    if (!refusal.error.detail.empty())
        message += ' ' + refusal.error.detail;
    Json error{{"kind", row.name},
               {"ran", Errors::toString(refusal.error.ran)},
               {"message", message},
               {"request_id", request.value()}};
    if (!refusal.limit.empty())
        error["limit"] = refusal.limit;
    if (!refusal.contractLine.empty())
        error["contract"] = refusal.contractLine;
    return dump({{"error", std::move(error)}});
}

Http::Headers refusalHeaders(const Refusal &refusal)
{
    Http::Headers headers{{"content-type", "application/json"}};
    if (refusal.retryAfter) {
        const auto wait = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
        headers.add("retry-after", std::to_string(std::max<std::int64_t>(wait, 1)));
    }
    return headers;
}

std::string completionBody(const Base::RequestId &request, const Base::ModelId &model,
                           std::string_view text, const StreamDone &done)
{
    return dump({{"id", request.value()},
                 {"object", "chat.completion"},
                 {"model", model.value()},
                 {"choices",
                  Json::array({{{"index", 0},
                                {"message", {{"role", "assistant"}, {"content", text}}},
                                {"finish_reason", "stop"}}})},
                 {"usage", usage(done)}});
}

std::string completionChunk(const Base::RequestId &request, const Base::ModelId &model,
                            std::string_view text)
{
    return event(chunk(request, model, {{"content", text}}, nullptr));
}

std::string completionEnd(const Base::RequestId &request, const Base::ModelId &model,
                          const StreamDone &done)
{
    Json last = chunk(request, model, Json::object(), "stop");
    last["usage"] = usage(done);
    return event(last) + "data: [DONE]\n\n";
}

} // namespace Lagoonbank::Exchange
