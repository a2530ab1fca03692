#include "standins/support/ledger.h"

#include <string_view>
#include <utility>

namespace Lagoonbank::Standins {

namespace {

std::string_view stateName(RunState state)
{
    switch (state) {
    case RunState::Running:
        return "running";
    case RunState::Whole:
        return "whole";
    case RunState::Cancelled:
        return "cancelled";
    case RunState::Crashed:
        return "crashed";
    }
    return "crashed";
}

nlohmann::json entryToJson(const LedgerEntry &entry)
{
    nlohmann::json json{{"request_id", entry.requestId.value()},
                        {"started_ms", wallMilliseconds(entry.started)},
                        {"ended_ms", nullptr},
                        {"state", stateName(entry.state)},
                        {"after_drain", entry.afterDrain}};
    if (entry.ended)
        json["ended_ms"] = wallMilliseconds(*entry.ended);
    if (!entry.key.empty())
        json["key"] = entry.key.value();
    if (!entry.chat.empty())
        json["chat"] = entry.chat.value();
    if (entry.promptTokens)
        json["prompt_tokens"] = entry.promptTokens->value();
    if (entry.cachedTokens)
        json["cached_tokens"] = entry.cachedTokens->value();
    if (entry.tokens)
        json["tokens"] = entry.tokens->value();
    return json;
}

} // namespace

Ledger::Number Ledger::begin(LedgerEntry entry)
{
    m_entries.push_back(std::move(entry));
    if (m_entries.size() > m_maxEntries) {
        m_entries.pop_front();
        ++m_firstNumber;
        ++m_dropped;
    }
    return m_firstNumber + m_entries.size() - 1;
}

LedgerEntry *Ledger::find(Number number)
{
    if (number < m_firstNumber || number - m_firstNumber >= m_entries.size())
        return nullptr;
    return &m_entries[number - m_firstNumber];
}

void Ledger::end(Number number, RunState state, Base::WallTime now)
{
    LedgerEntry *entry = find(number);
    if (!entry)
        return;
    entry->state = state;
    entry->ended = now;
}

void Ledger::countRefusal(Base::WallTime now, bool afterDrain)
{
    ++m_refused;
    if (!afterDrain)
        return;
    ++m_refusedAfterDrain;
    m_lastRefusedAfterDrain = now;
}

void Ledger::clear()
{
    while (!m_entries.empty() && m_entries.front().state != RunState::Running) {
        m_entries.pop_front();
        ++m_firstNumber;
    }
    m_dropped = 0;
    m_refused = 0;
    m_refusedAfterDrain = 0;
    m_lastRefusedAfterDrain.reset();
}

nlohmann::json Ledger::toJson() const
{
    nlohmann::json entries = nlohmann::json::array();
    for (const LedgerEntry &entry : m_entries)
        entries.push_back(entryToJson(entry));
    nlohmann::json json{{"entries", std::move(entries)},
                        {"dropped", m_dropped},
                        {"refused", m_refused},
                        {"refused_after_drain", m_refusedAfterDrain}};
    if (m_lastRefusedAfterDrain)
        json["last_refused_after_drain_ms"] = wallMilliseconds(*m_lastRefusedAfterDrain);
    return json;
}

std::int64_t wallMilliseconds(Base::WallTime time)
{
    return Base::toMilliseconds(time.time_since_epoch());
}

} // namespace Lagoonbank::Standins
