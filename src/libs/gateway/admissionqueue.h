#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "gateway/softwareversions.h"
#include "gateway/urgencyshares.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Lagoonbank::Gateway {

/// Priority of a request that waits for a free slot. The lowest value is served first.
struct QueuePriority
{
    /// Whether the request was sent to an endpoint before. Such a request is served before others,
    /// as part of its work is done, but it may be excluded from some endpoints.
    bool isRepeat = false;
    double usableShare = 1; ///< Fraction of the slots that the request may fill.
    Urgency urgency;

    /// Negative if this priority is served before the other, 0 if they are equal.
    int compare(const QueuePriority &other) const;
};

/// Queues of requests that found no endpoint with a free slot, in the order in which they are
/// served. A freed slot wakes the first waiter, and the next ones while slots are free. Waiters
/// don't poll. The processor time per refusal would be about the same if each of them retried every
/// 10 ms (16.5 us compared to 15 us, a difference within the measurement error).
class AdmissionQueue
{
public:
    /// Identifies a queue of requests of one service that can be placed under the same conditions.
    /// Streams have a queue of their own, as only other requests may also wait at an endpoint. So
    /// have streams that may go on at one software version only, and requests that found a free
    /// slot, but not the memory that they need: smaller requests may find it.
    struct QueueId
    {
        Base::ServiceId service;
        bool isStream = false;
        SoftwareHash software; ///< Zero if endpoints of any version will do.
        bool awaitsMemory = false;

        auto operator<=>(const QueueId &) const = default;
    };
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Interval at which the first waiter retries if no request has ended. It may find a free
        /// slot then, as the estimated number of other routers' requests decreases with time. An
        /// engine completes a request every 20 to 50 ms.
        Base::Duration retryInterval = std::chrono::milliseconds(10);
        /// Maximum number of waiters in one queue. Waiters wait for tens of milliseconds, and no
        /// router gets more free slots than this in that time.
        std::size_t maxWaiters = 256;
        /// Number of failed placement attempts after which the remaining waiters are not tried.
        /// It is more than one, as the first waiters may be excluded from the endpoint that has a
        /// free slot.
        int maxFailedAttempts = 3;
    };
    struct Waiter
    {
        QueuePriority priority;
        bool mayRepeat = false; ///< May be sent twice, and so be a trial of a suspected endpoint.
        Base::MonoTime deadline; ///< The waiter fails at this time.
        /// Tries to place the request. True if it need not wait any longer.
        std::function<bool()> tryPlace;
        /// Called when the waiter is removed because it got no slot.
        std::function<void()> fail;
    };
    struct Ticket
    {
        QueueId queueId;
        QueuePriority priority;
        std::uint64_t number = 0; ///< Orders waiters of equal priority by arrival.
    };

    explicit AdmissionQueue(const Options &options)
        : m_options(options)
    { }
    ~AdmissionQueue();
    AdmissionQueue(const AdmissionQueue &) = delete;
    AdmissionQueue &operator=(const AdmissionQueue &) = delete;

    /// Adds a waiter. If the queue is full, its last waiter is removed and fails. If that has no
    /// lower priority than the new waiter, nothing is added and nullopt is returned.
    std::optional<Ticket> add(const QueueId &queueId, Waiter waiter);
    void remove(const Ticket &ticket);
    /// Whether a new request must wait without an attempt of its own: a waiter that is served
    /// before it and may use at least the same endpoints has found no free slot.
    bool mustWait(const QueueId &queueId, const QueuePriority &priority, bool mayRepeat) const;
    /// Reports that a slot of the service may have become free. Waiters are tried from the event
    /// loop, not from within this call.
    void slotMayBeFree(const Base::ServiceId &service);
    std::size_t size() const;

private:
    struct Key
    {
        QueuePriority priority;
        std::uint64_t number = 0; ///< Orders waiters of equal priority by arrival.

        bool operator<(const Key &other) const;
    };
    using Waiters = std::map<Key, Waiter>;

    void tick();
    void startTicking();
    void retryFreed();
    /// The queues of a service, or of all services. Those that can use the fewest endpoints come
    /// first, as others may find another free slot.
    std::vector<QueueId> queueIds(const std::optional<Base::ServiceId> &service) const;
    void tryPlace(const QueueId &queueId, int maxFailedAttempts);
    /// Removes a waiter and calls its fail function.
    void fail(const QueueId &queueId, const Key &key);
    void failExpired();

    Options m_options;
    std::map<QueueId, Waiters> m_queues; ///< Holds no empty queues.
    std::uint64_t m_lastNumber = 0;
    /// Services in which slots may have become free since the last round.
    absl::flat_hash_set<Base::ServiceId> m_freed;
    std::optional<Runtime::TimerId> m_retryTimer;
    std::optional<Runtime::TimerId> m_tickTimer;
};

} // namespace Lagoonbank::Gateway
