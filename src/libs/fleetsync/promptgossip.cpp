#include "fleetsync/promptgossip.h"

#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

constexpr std::size_t maxPrompts = 32; ///< Prompts in one datagram.
/// Size of a datagram without prompts: IP and UDP headers, version and count.
constexpr double emptyDatagramBytes = 38;
constexpr double promptBytes = 24; ///< Size of one prompt in a datagram.

} // namespace

PromptGossip::PromptGossip(Options options)
    : m_options(std::move(options))
    , m_byteBudget({.rate = m_options.bytesPerSecond, .burst = m_options.burstBytes})
{ }

PromptGossip::~PromptGossip()
{
    if (m_timer)
        m_options.timers->cancel(*m_timer);
}

void PromptGossip::report(const Schema::SharedPrompt &prompt, bool isNew)
{
    if (m_pending.prompts.size() >= maxPrompts && !evictForNew(isNew))
        return;
    const bool isFirstNew = isNew && m_newPromptCount == 0;
    add(prompt, isNew);
    if (m_timer && !isFirstNew)
        return;
    if (m_timer)
        m_options.timers->cancel(*m_timer);
    m_timer = m_options.timers->start(isNew ? m_options.newPromptDelay : m_options.usedPromptDelay,
                                      [this] { flush(); });
}

/// Drops a prompt that is only in use again from the full datagram to make space for a new one;
/// returns false if nothing can be dropped.
bool PromptGossip::evictForNew(bool isNew)
{
    ++m_dropped; // Either the prompt to be added or the one dropped for it.
    if (!isNew || m_newPromptCount >= maxPrompts)
        return false;
    m_pending.prompts.pop_back();
    return true;
}

/// Keeps prompts at new endpoints before those that are only in use again, which are the first to
/// be dropped.
void PromptGossip::add(const Schema::SharedPrompt &prompt, bool isNew)
{
    if (!isNew) {
        m_pending.prompts.push_back(prompt);
        return;
    }
    const auto endOfNew = m_pending.prompts.begin() + static_cast<std::ptrdiff_t>(m_newPromptCount);
    m_pending.prompts.insert(endOfNew, prompt);
    ++m_newPromptCount;
}

void PromptGossip::receive(const Schema::PromptUpdate &message) const
{
    if (!received)
        return;
    for (const Schema::SharedPrompt &prompt : message.prompts)
        received(prompt);
}

void PromptGossip::flush()
{
    m_timer.reset();
    const Schema::PromptUpdate message = std::exchange(m_pending, {});
    const bool hasNew = std::exchange(m_newPromptCount, 0) > 0;
    const std::vector<Runtime::SocketAddress> peers = m_options.peers();
    const auto count = static_cast<double>(message.prompts.size());
    const double cost =
        (emptyDatagramBytes + promptBytes * count) * static_cast<double>(peers.size());
    // Half of the burst is reserved for new prompts.
    const double reserved = hasNew ? 0 : m_options.burstBytes / 2;
    const Base::MonoTime now = m_options.timers->clock().now();
    if (!send || m_byteBudget.waitFor(cost + reserved, now) != Base::Duration::zero()) {
        m_dropped += message.prompts.size();
        return;
    }
    m_byteBudget.charge(cost, now);
    for (const Runtime::SocketAddress &peer : peers)
        send(peer, message);
}

} // namespace Lagoonbank::FleetSync
