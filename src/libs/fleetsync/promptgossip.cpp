#include "fleetsync/promptgossip.h"

#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

constexpr std::size_t mostPrompts = 32; ///< In one datagram.
/// On the wire: headers of IP and UDP, version and count; then each prompt.
constexpr double emptyBytes = 38;
constexpr double promptBytes = 24;

} // namespace

PromptGossip::PromptGossip(Options options)
    : m_options(std::move(options))
    , m_bytes({.rate = m_options.bytesPerSecond, .burst = m_options.burstBytes})
{ }

PromptGossip::~PromptGossip()
{
    if (m_timer)
        m_options.timers->cancel(*m_timer);
}

void PromptGossip::report(const Schema::SharedPrompt &prompt, bool isNew)
{
    if (m_pending.prompts.size() >= mostPrompts && !evictForNew(isNew))
        return;
    const bool isFirstNew = isNew && m_newCount == 0;
    add(prompt, isNew);
    if (m_timer && !isFirstNew)
        return;
    if (m_timer)
        m_options.timers->cancel(*m_timer);
    m_timer = m_options.timers->start(isNew ? m_options.newPromptDelay : m_options.usedPromptDelay,
                                      [this] { flush(); });
}

/// In a full datagram; false if there is nothing that yields.
bool PromptGossip::evictForNew(bool isNew)
{
    ++m_dropped; // The one that comes, or the one that yields to it.
    if (!isNew || m_newCount >= mostPrompts)
        return false;
    m_pending.prompts.pop_back();
    return true;
}

/// New places stand before prompts that are only in use, which yield to them.
void PromptGossip::add(const Schema::SharedPrompt &prompt, bool isNew)
{
    if (!isNew) {
        m_pending.prompts.push_back(prompt);
        return;
    }
    const auto behindNew = m_pending.prompts.begin() + static_cast<std::ptrdiff_t>(m_newCount);
    m_pending.prompts.insert(behindNew, prompt);
    ++m_newCount;
}

void PromptGossip::receive(const Schema::PromptNews &news) const
{
    if (!received)
        return;
    for (const Schema::SharedPrompt &prompt : news.prompts)
        received(prompt);
}

void PromptGossip::flush()
{
    m_timer.reset();
    const Schema::PromptNews news = std::exchange(m_pending, {});
    const bool isUrgent = std::exchange(m_newCount, 0) > 0;
    const std::vector<Runtime::SocketAddress> peers = m_options.peers();
    const auto count = static_cast<double>(news.prompts.size());
    const double cost = (emptyBytes + promptBytes * count) * static_cast<double>(peers.size());
    // Half of the burst stays for news.
    const double kept = isUrgent ? 0 : m_options.burstBytes / 2;
    const Base::MonoTime now = m_options.timers->clock().now();
    if (!send || m_bytes.waitFor(cost + kept, now) != Base::Duration::zero()) {
        m_dropped += news.prompts.size();
        return;
    }
    m_bytes.charge(cost, now);
    for (const Runtime::SocketAddress &peer : peers)
        send(peer, news);
}

} // namespace Lagoonbank::FleetSync
