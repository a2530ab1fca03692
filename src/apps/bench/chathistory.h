#pragma once

#include "experiment/definition.h"
#include "experiment/workload.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace Lagoonbank::Bench {

/// The callers' side of all open chats: what was said so far and the token of the last answer.
class ChatHistory
{
public:
    /// \a runTag keeps the prompts of one run apart from those of earlier runs.
    ChatHistory(const Experiment::Definition &definition, std::string runTag)
        : m_definition(definition)
        , m_runTag(std::move(runTag))
    { }

    std::string chatId(const Experiment::PlannedCall &call) const;
    /// Adds the turn's question and gives the request's body with everything said so far.
    std::string nextBody(const Experiment::PlannedCall &call);
    /// The token of the chat's last answer; empty if there is none.
    std::string placementToken(const Experiment::PlannedCall &call) const;
    void addAnswer(const Experiment::PlannedCall &call, const std::string &text);
    void setPlacementToken(const Experiment::PlannedCall &call, std::string token);
    /// Forgets the chat.
    void close(const Experiment::PlannedCall &call) { m_chats.erase(call.chat); }

private:
    struct Chat
    {
        std::string messages; ///< JSON objects with commas between them.
        std::string placementToken;
    };

    static void addMessage(Chat &chat, std::string_view role, std::string_view text);
    std::string words(std::string_view prefix, int count) const;

    const Experiment::Definition &m_definition;
    std::string m_runTag;
    absl::flat_hash_map<std::uint64_t, Chat> m_chats;
};

/// The body of a call of a plain service: the same for all sendings of one matter.
std::string serviceBody(const Experiment::ServiceCall &service, const Experiment::PlannedCall &call,
                        const std::string &runTag);

} // namespace Lagoonbank::Bench
