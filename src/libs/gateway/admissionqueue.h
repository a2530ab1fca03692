#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "gateway/urgencyshares.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Lagoonbank::Gateway {

/// Where a request stands among those that wait for room; the least goes first.
struct QueuePriority
{
    /// Sent before: its work is done in part, and it may not go everywhere.
    bool isRepeat = false;
    double usableShare = 1; ///< Of the places; see LoadShedder.
    Urgency urgency;

    /// Negative if this one goes before the other, 0 for equals.
    int compare(const QueuePriority &other) const;
};

/// Requests that found no endpoint with room, in the order in which they get what comes free. Room
/// that comes free wakes the first of them, and the next ones while there is more; nobody looks on
/// their own. Against a look of each of them each 10 ms a refusal takes 15 us of a core instead of
/// 16.5 (bm_refusal, within its noise); worth and processor time of whole days are the same.
class AdmissionQueue
{
public:
    /// Requests of one service that find room alike: plain ones may also wait at an endpoint.
    struct QueueId
    {
        Base::ServiceId service;
        bool isStream = false;

        auto operator<=>(const QueueId &) const = default;
    };
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Between two looks of the first in line where nothing has ended: what others have at an
        /// endpoint is guessed to shrink with time. An engine ends a request each 20 to 50 ms.
        Base::Duration retryInterval = std::chrono::milliseconds(10);
        /// In one line; they wait for tens of ms, in which no router gets so many places.
        std::size_t maxWaiters = 256;
        /// Looks in vain before the others in line are taken to find nothing either: the first ones
        /// may be barred from the endpoint that has room.
        int maxFailedAttempts = 3;
    };
    struct Waiter
    {
        QueuePriority priority;
        bool mayRepeat = false; ///< So that it may find out whether a suspected endpoint is back.
        Base::MonoTime deadline; ///< It is given up then.
        /// Looks for a place; true if it waits no longer.
        std::function<bool()> tryPlace;
        /// There is no room for it.
        std::function<void()> fail;
    };
    struct Ticket
    {
        QueueId queueId;
        QueuePriority priority;
        std::uint64_t number = 0; ///< Equals go in the order in which they came.
    };

    explicit AdmissionQueue(const Options &options)
        : m_options(options)
    { }
    ~AdmissionQueue();
    AdmissionQueue(const AdmissionQueue &) = delete;
    AdmissionQueue &operator=(const AdmissionQueue &) = delete;

    /// Nothing if the line is full of others that go before it.
    std::optional<Ticket> add(const QueueId &queueId, Waiter waiter);
    void remove(const Ticket &ticket);
    /// Whether one that has not looked yet would find nothing, as one in line goes before it that
    /// may go wherever it may, and found nothing.
    bool mustWait(const QueueId &queueId, const QueuePriority &priority, bool mayRepeat) const;
    /// A place of the service may have come free; those in line look soon, but not from this call.
    void slotMayBeFree(const Base::ServiceId &service);
    std::size_t size() const;

private:
    struct Key
    {
        QueuePriority priority;
        std::uint64_t number = 0; ///< See Ticket.

        bool operator<(const Key &other) const;
    };
    using Waiters = std::map<Key, Waiter>;

    void tick();
    void startTicking();
    void retryFreed();
    void tryPlace(const QueueId &queueId, int maxFailedAttempts);
    /// Takes one out and calls its fail.
    void fail(const QueueId &queueId, const Key &key);
    void failExpired();

    Options m_options;
    std::map<QueueId, Waiters> m_queues; ///< None is empty.
    std::uint64_t m_lastNumber = 0;
    absl::flat_hash_set<Base::ServiceId> m_freed; ///< Services that have had room since.
    std::optional<Runtime::TimerId> m_retryTimer;
    std::optional<Runtime::TimerId> m_tickTimer;
};

} // namespace Lagoonbank::Gateway
