#pragma once

#include "experiment/definition.h"
#include "experiment/workload.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace Lagoonbank::Bench {

/// Messages and latest placement token of all open chats, as their callers keep them.
class ChatHistory
{
public:
    /// \a runTag makes the prompts of a run differ from those of earlier runs.
    ChatHistory(const Experiment::Definition &definition, std::string runTag)
        : m_definition(definition)
        , m_runTag(std::move(runTag))
    { }

    std::string chatId(const Experiment::PlannedCall &call) const;
    /// Adds the user message of the turn and returns the body of the request, which has all
    /// messages of the chat.
    std::string nextBody(const Experiment::PlannedCall &call);
    /// Placement token of the last answer in the chat; empty if there is none.
    std::string placementToken(const Experiment::PlannedCall &call) const;
    void addAnswer(const Experiment::PlannedCall &call, const std::string &text);
    void setPlacementToken(const Experiment::PlannedCall &call, std::string token);
    /// Removes the chat.
    void close(const Experiment::PlannedCall &call) { m_chats.erase(call.chat); }

private:
    struct Chat
    {
        std::string messages; ///< JSON objects separated by commas.
        std::string placementToken;
    };

    static void addMessage(Chat &chat, std::string_view role, std::string_view text);
    std::string makeText(std::string_view prefix, int count) const;

    const Experiment::Definition &m_definition;
    std::string m_runTag;
    absl::flat_hash_map<std::uint64_t, Chat> m_chats;
};

/// Body of a call of a plain service. Retries and duplicates of a call have the same body.
std::string serviceBody(const Experiment::ServiceCall &service, const Experiment::PlannedCall &call,
                        const std::string &runTag);

} // namespace Lagoonbank::Bench
