#include "chathistory.h"

#include <nlohmann/json.hpp>

namespace Lagoonbank::Bench {

namespace {

const Experiment::ChatCall &chatCallOf(const Experiment::Definition &definition,
                                       const Experiment::PlannedCall &call)
{
    return std::get<Experiment::ChatCall>(
        definition.workspaces[call.workspace].kinds[call.kind].call);
}

} // namespace

std::string ChatHistory::chatId(const Experiment::PlannedCall &call) const
{
    return "chat-" + m_runTag + "-" + std::to_string(call.chat);
}

std::string ChatHistory::nextBody(const Experiment::PlannedCall &call)
{
    const Experiment::ChatCall &kind = chatCallOf(m_definition, call);
    Chat &chat = m_chats[call.chat];
    if (chat.messages.empty() && kind.systemTokens > 0) {
        const std::string &workspace = m_definition.workspaces[call.workspace].workspace.value();
        addMessage(chat, "system", makeText(workspace + "-s", kind.systemTokens));
    }
    const std::string prefix =
        "c" + std::to_string(call.chat) + "t" + std::to_string(call.turn) + "w";
    // The prompt has another token for the role of each message.
    addMessage(chat, "user", makeText(prefix, call.promptTokens));

    std::string body;
    body.reserve(chat.messages.size() + 256);
    body += R"({"model":")";
    body += kind.model.value();
    body += R"(","messages":[)";
    body += chat.messages;
    body += R"(],"stream":)";
    body += kind.stream ? "true" : "false";
    body += R"(,"max_tokens":)";
    body += std::to_string(call.answerTokens);
    body += R"(,"prompt_cache_key":")";
    body += chatId(call);
    if (!kind.priority.empty()) {
        body += R"(","priority":")";
        body += kind.priority;
    }
    body += R"("})";
    return body;
}

std::string ChatHistory::placementToken(const Experiment::PlannedCall &call) const
{
    const auto chat = m_chats.find(call.chat);
    return chat == m_chats.end() ? std::string() : chat->second.placementToken;
}

void ChatHistory::addAnswer(const Experiment::PlannedCall &call, const std::string &text)
{
    const auto chat = m_chats.find(call.chat);
    if (chat != m_chats.end())
        addMessage(chat->second, "assistant", text);
}

void ChatHistory::setPlacementToken(const Experiment::PlannedCall &call, std::string token)
{
    const auto chat = m_chats.find(call.chat);
    if (chat != m_chats.end())
        chat->second.placementToken = std::move(token);
}

void ChatHistory::addMessage(Chat &chat, std::string_view role, std::string_view text)
{
    if (!chat.messages.empty())
        chat.messages += ',';
    chat.messages += R"({"role":")";
    chat.messages += role;
    chat.messages += R"(","content":)";
    chat.messages += nlohmann::json(text).dump();
    chat.messages += '}';
}

std::string ChatHistory::makeText(std::string_view prefix, int count) const
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        if (i > 0)
            text += ' ';
        text += prefix;
        text += m_runTag;
        text += '.';
        text += std::to_string(i);
    }
    return text;
}

std::string serviceBody(const Experiment::ServiceCall &service, const Experiment::PlannedCall &call,
                        const std::string &runTag)
{
    std::string body =
        R"({"matter":")" + runTag + "-" + std::to_string(call.number) + R"(","text":")";
    const auto padding = static_cast<std::size_t>(service.bodyBytes);
    if (body.size() + 2 < padding)
        body.append(padding - body.size() - 2, 'x');
    return body + R"("})";
}

} // namespace Lagoonbank::Bench
