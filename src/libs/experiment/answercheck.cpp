#include "experiment/answercheck.h"

#include "experiment/textparts.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <iomanip>
#include <optional>
#include <sstream>

namespace Lagoonbank::Experiment {

namespace {

using Internal::joined;
using Internal::splitParts;
using Internal::toNumber;
using Internal::trimmed;

constexpr std::string_view dataPrefix = "data:";
constexpr std::string_view doneEvent = "[DONE]";

/// First 8 hexadecimal digits of the XXH3 hash with which the stand-in engine prefixes each token
/// of a request's answer.
std::string tokenHash(std::string_view requestId)
{
    constexpr unsigned upperHalf = 32;
    constexpr int hashDigits = 8;
    const std::uint64_t hash = XXH3_64bits(requestId.data(), requestId.size());
    std::ostringstream stream;
    stream << std::hex << std::setfill('0') << std::setw(hashDigits) << (hash >> upperHalf);
    return stream.str();
}

/// Text of a streamed event in the chat-completions format; empty if it has none.
std::string deltaOf(const nlohmann::json &event)
{
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty())
        return {};
    const nlohmann::json &choice = choices->front();
    if (!choice.is_object() || !choice.contains("delta") || !choice["delta"].is_object())
        return {};
    const auto content = choice["delta"].find("content");
    const bool isText = content != choice["delta"].end() && content->is_string();
    return isText ? content->get<std::string>() : std::string();
}

} // namespace

std::string expectedToken(std::string_view requestId, std::int64_t index)
{
    return Internal::joined(tokenHash(requestId), "-", index, " ");
}

AnswerVerdict checkModelAnswer(std::string_view requestId, std::string_view text,
                               std::int64_t wantedTokens)
{
    const std::string prefix = joined(tokenHash(requestId), "-");
    AnswerVerdict verdict{AnswerCheck::Matches, 0};
    bool hasGap = false;
    for (std::string_view token : splitParts(text, ' ')) {
        const bool matchesRequest = token.starts_with(prefix);
        const auto index =
            matchesRequest ? toNumber<std::int64_t>(token.substr(prefix.size())) : std::nullopt;
        if (!index) {
            verdict.check = AnswerCheck::Foreign;
            return verdict;
        }
        hasGap = hasGap || *index != verdict.tokens;
        ++verdict.tokens;
    }
    if (hasGap || (wantedTokens > 0 && verdict.tokens < wantedTokens))
        verdict.check = AnswerCheck::Cut;
    return verdict;
}

std::string expectedReceipt(std::string_view body)
{
    constexpr int receiptDigits = 16;
    std::ostringstream stream;
    stream << std::hex << std::setfill('0') << std::setw(receiptDigits)
           << XXH3_64bits(body.data(), body.size());
    return stream.str();
}

AnswerCheck checkServiceAnswer(std::string_view requestBody, std::string_view answer)
{
    const nlohmann::json json = nlohmann::json::parse(answer, nullptr, false);
    if (!json.is_object() || !json.contains("receipt"))
        return AnswerCheck::Cut;
    const bool matchesRequest = json["receipt"] == expectedReceipt(requestBody);
    return matchesRequest ? AnswerCheck::Matches : AnswerCheck::Foreign;
}

void StreamReader::add(std::string_view chunk)
{
    m_incompleteLine.append(chunk);
    std::size_t from = 0;
    for (std::size_t end = m_incompleteLine.find('\n'); end != std::string::npos;
         end = m_incompleteLine.find('\n', from)) {
        readEvent(std::string_view(m_incompleteLine).substr(from, end - from));
        from = end + 1;
    }
    m_incompleteLine.erase(0, from);
}

void StreamReader::readEvent(std::string_view line)
{
    if (!line.starts_with(dataPrefix))
        return;
    line = trimmed(line.substr(dataPrefix.size()));
    if (line == doneEvent) {
        m_isDone = true;
        return;
    }
    const nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object())
        return;
    if (event.contains("error")) {
        m_error = event["error"].dump();
        return;
    }
    const std::string text = deltaOf(event);
    if (text.empty())
        return;
    m_text += text;
    ++m_deltaCount;
}

} // namespace Lagoonbank::Experiment
