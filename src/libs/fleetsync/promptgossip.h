#pragma once

#include "admission/gcra.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Tells the other routers where prompts are, so that requests with a prompt go to where it is held
/// whichever router they come through, and none reads what another one has read a moment ago. News
/// may be lost: then a prompt is read once more.
///
/// Pure: time comes from the timers, messages go out through the hooks.
class PromptGossip
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Whom to tell: all of them, as each may get the next request with the prompt.
        std::function<std::vector<Runtime::SocketAddress>()> peers;
        /// What this router may spend. Its control traffic has to stay under 5,000 bytes a second,
        /// of which a reader's beacons take 1,600 each way. What is beyond is not told.
        double bytesPerSecond = 1500;
        /// A fleet that starts tells of all its prompts in a second or two: 50 datagrams to seven
        /// peers.
        double burstBytes = 24000;
        /// For which news are gathered. Requests that an endpoint's crash sets free come to their
        /// next endpoint through many routers within some ms.
        Base::Duration newPromptDelay = std::chrono::milliseconds(1);
        /// The same for prompts that are only in use again.
        Base::Duration usedPromptDelay = std::chrono::milliseconds(1500);
    };

    explicit PromptGossip(Options options);
    ~PromptGossip();
    PromptGossip(const PromptGossip &) = delete;
    PromptGossip &operator=(const PromptGossip &) = delete;

    std::function<void(const Runtime::SocketAddress &to, const Schema::PromptNews &news)> send;
    std::function<void(const Schema::SharedPrompt &prompt)> received;

    /// Tells where a prompt is; if it is only in use there again, then with what others leave of
    /// the budget.
    void report(const Schema::SharedPrompt &prompt, bool isNew);
    void receive(const Schema::PromptNews &news) const;
    /// Prompts of which the peers were not told for want of budget.
    std::uint64_t dropped() const { return m_dropped; }

private:
    bool evictForNew(bool isNew);
    void add(const Schema::SharedPrompt &prompt, bool isNew);
    void flush();

    Options m_options;
    Admission::Gcra m_bytes;
    Schema::PromptNews m_pending; ///< That the peers are not told yet.
    std::size_t m_newCount = 0; ///< Of these, the first ones; the rest are only in use again.
    std::optional<Runtime::TimerId> m_timer;
    std::uint64_t m_dropped = 0;
};

} // namespace Lagoonbank::FleetSync
