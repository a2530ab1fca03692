#include "exchange/modelcall.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string_view>

namespace Lagoonbank::Exchange {

namespace {

using Errors::Error;
using Errors::ErrorKind;
using Errors::Result;
using Json = nlohmann::json;

constexpr std::int64_t defaultMaxTokens = 256;
constexpr std::int64_t maxTokensLimit = 1'000'000;
constexpr std::int64_t maxDeadlineMs = 24LL * 60 * 60 * 1000;
constexpr std::size_t maxKeyLength = 200;
constexpr std::size_t maxChatIdLength = 200;

Error badRequest(std::string detail)
{
    return Errors::makeError(ErrorKind::BadRequest, std::move(detail));
}

Base::Tokens countTokens(std::string_view text)
{
    std::int64_t count = 0;
    bool inToken = false;
    for (const char c : text) {
        const bool isSpace = c == ' ' || (c >= '\t' && c <= '\r');
        count += !isSpace && !inToken;
        inToken = !isSpace;
    }
    return Base::Tokens(count);
}

Result<std::string> readText(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return std::string();
    if (!found->is_string())
        return badRequest(std::string(name) + " is not a string.");
    return found->get<std::string>();
}

/// Reads the content of a message: a string, or a list of parts that all have a text.
Result<std::string> readContent(const Json &message)
{
    const auto content = message.find("content");
    if (content == message.end())
        return badRequest("A message has no content.");
    if (content->is_string())
        return content->get<std::string>();
    if (!content->is_array())
        return badRequest("The content of a message is neither a string nor a list of parts.");
    std::string text;
    for (const Json &part : *content) {
        if (!part.is_object() || !part.contains("text") || !part["text"].is_string())
            return badRequest("A part of a message's content has no text.");
        text += part["text"].get_ref<const std::string &>();
    }
    return text;
}

Result<std::string> readPrompt(const Json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return badRequest("messages is missing; give a list with at least one message.");
    std::string prompt;
    for (const Json &message : *messages) {
        if (!message.is_object())
            return badRequest("A message is not an object.");
        BOOST_OUTCOME_TRY(role, readText(message, "role"));
        BOOST_OUTCOME_TRY(content, readContent(message));
        prompt += role;
        prompt += '\n';
        prompt += content;
        prompt += '\n';
    }
    return prompt;
}

Result<Base::Tokens> readMaxTokens(const Json &body)
{
    auto found = body.find("max_tokens");
    if (found == body.end())
        found = body.find("max_completion_tokens");
    if (found == body.end())
        return Base::Tokens(defaultMaxTokens);
    if (!found->is_number_integer())
        return badRequest("max_tokens is not a whole number.");
    const auto tokens = found->get<std::int64_t>();
    if (tokens < 1 || tokens > maxTokensLimit)
        return badRequest("max_tokens is out of range; give a number from 1 to 1000000.");
    return Base::Tokens(tokens);
}

Result<bool> readStream(const Json &body)
{
    const auto found = body.find("stream");
    if (found == body.end())
        return false;
    if (!found->is_boolean())
        return badRequest("stream is neither true nor false.");
    return found->get<bool>();
}

Result<Base::ChatId> readChat(const Json &body, const Http::Headers &headers)
{
    BOOST_OUTCOME_TRY(key, readText(body, "prompt_cache_key"));
    if (key.empty())
        key = std::string(headers.find("x-chat-id").value_or(""));
    if (key.size() > maxChatIdLength)
        return badRequest("prompt_cache_key is longer than 200 characters.");
    return Base::ChatId(std::move(key));
}

} // namespace

Result<ModelCall> readModelCall(const Http::Request &request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded())
        return badRequest("The body is not valid JSON.");
    if (!body.is_object())
        return badRequest("The body is not a JSON object.");

    ModelCall call;
    BOOST_OUTCOME_TRY(model, readText(body, "model"));
    if (model.empty())
        return badRequest("model is missing; give the name of a model.");
    call.model = Base::ModelId(std::move(model));
    BOOST_OUTCOME_TRY(prompt, readPrompt(body));
    call.prompt = std::move(prompt);
    call.promptTokens = countTokens(call.prompt);
    BOOST_OUTCOME_TRY(maxTokens, readMaxTokens(body));
    call.maxTokens = maxTokens;
    BOOST_OUTCOME_TRY(stream, readStream(body));
    call.stream = stream;
    BOOST_OUTCOME_TRY(chat, readChat(body, request.headers));
    call.chat = std::move(chat);
    BOOST_OUTCOME_TRY(priority, readText(body, "priority"));
    call.priority = std::move(priority);
    if (call.priority.empty())
        call.priority = std::string(request.headers.find("x-priority").value_or(""));
    return call;
}

Result<std::optional<Base::Duration>> readDeadline(const Http::Headers &headers)
{
    const auto text = headers.find("x-deadline-ms");
    if (!text)
        return std::optional<Base::Duration>();
    std::int64_t value = 0;
    const char *end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc() || stop != end || value < 1 || value > maxDeadlineMs)
        return badRequest(
            "X-Deadline-Ms is not a whole number of milliseconds from 1 to 86400000.");
    return std::optional<Base::Duration>(std::chrono::milliseconds(value));
}

Result<std::string> readBearerKey(const Http::Headers &headers)
{
    constexpr std::string_view scheme = "bearer ";
    const auto field = headers.find("authorization");
    if (!field)
        return Errors::makeError(ErrorKind::MissingKey, "Send Authorization: Bearer <key>.");
    const auto sameLetter = [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == b;
    };
    if (field->size() <= scheme.size()
        || !std::equal(scheme.begin(), scheme.end(), field->begin(),
                       [&](char a, char b) { return sameLetter(b, a); }))
        return Errors::makeError(ErrorKind::MissingKey, "Authorization is not Bearer <key>.");
    return std::string(field->substr(scheme.size()));
}

Result<std::optional<Base::IdempotencyKey>> readIdempotencyKey(const Http::Headers &headers)
{
    const auto key = headers.find("idempotency-key");
    if (!key)
        return std::optional<Base::IdempotencyKey>();
    if (key->empty() || key->size() > maxKeyLength)
        return badRequest("Idempotency-Key is empty or longer than 200 characters.");
    return std::optional(Base::IdempotencyKey(std::string(*key)));
}

} // namespace Lagoonbank::Exchange
