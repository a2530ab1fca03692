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

/// Gossip about prompts: reports to the other routers which endpoint holds a prompt in its cache,
/// so that requests with that prompt are placed at its holder whichever router receives them, and
/// no endpoint processes a prompt that another one processed a moment ago. Messages may be lost;
/// the prompt is then processed once more.
///
/// Pure: time comes from the timers, messages go out through the hooks.
class PromptGossip
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Returns all receivers: any router may receive the next request with the prompt.
        std::function<std::vector<Runtime::SocketAddress>()> peers;
        /// Budget of this gossip. The control traffic of a router has to stay under 5,000 bytes a
        /// second, of which the beacons of a store reader take 1,600 in each direction. Prompts
        /// beyond the budget are dropped.
        double bytesPerSecond = 1500;
        /// Maximum size of a burst. Each router of a starting fleet reports all its prompts within
        /// one or two seconds, in 50 datagrams to each of seven peers.
        double burstBytes = 24000;
        /// Time for which prompts at new endpoints are collected into one datagram. When an
        /// endpoint crashes, its requests are placed again by many routers within a few ms.
        Base::Duration newPromptDelay = std::chrono::milliseconds(1);
        /// Time for which prompts are collected that are only used again at the endpoint that holds
        /// them.
        Base::Duration usedPromptDelay = std::chrono::milliseconds(1500);
    };

    explicit PromptGossip(Options options);
    ~PromptGossip();
    PromptGossip(const PromptGossip &) = delete;
    PromptGossip &operator=(const PromptGossip &) = delete;

    std::function<void(const Runtime::SocketAddress &to, const Schema::PromptUpdate &message)> send;
    std::function<void(const Schema::SharedPrompt &prompt)> received;

    /// Reports the holder of a prompt: the endpoint that has it in its cache. \a isNew is false if
    /// the holder has not changed; the report then uses only the half of the burst budget that is
    /// not reserved for new prompts.
    void report(const Schema::SharedPrompt &prompt, bool isNew);
    void receive(const Schema::PromptUpdate &message) const;
    /// Prompts that were not sent to the peers for lack of budget or of space in a datagram.
    std::uint64_t dropped() const { return m_dropped; }

private:
    bool evictForNew(bool isNew);
    void add(const Schema::SharedPrompt &prompt, bool isNew);
    void flush();

    Options m_options;
    Admission::Gcra m_byteBudget;
    Schema::PromptUpdate m_pending; ///< Prompts that have not been sent to the peers yet.
    std::size_t m_newPromptCount = 0; ///< Number of new prompts, which are first in m_pending.
    std::optional<Runtime::TimerId> m_timer;
    std::uint64_t m_dropped = 0;
};

} // namespace Lagoonbank::FleetSync
