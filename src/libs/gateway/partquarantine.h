#pragma once

#include "gateway/partevidence.h"
#include "gateway/parthistory.h"
#include "gateway/quarantinetable.h"
#include "runtime/timerqueue.h"
#include "schema/generated/fleetsync.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace Lagoonbank::Gateway {

/// A prompt part whose requests are sent to no endpoint until its quarantine ends.
struct QuarantinedPart
{
    PartHash part;
    /// Remaining time of the quarantine, limited to PartQuarantine::Options::quarantineTime.
    Base::Duration remaining = Base::Duration::max();
};

/// Asks whether the answer to a request with this part has begun within some time.
struct PartQuestion
{
    PartHash part;
    Base::Duration within{};
};

/// The answer to a request with this part began some time ago.
struct PartBegin
{
    PartHash part;
    Base::Duration age{};
};

Schema::SharedPartTime toShared(const QuarantinedPart &quarantined);
Schema::SharedPartTime toShared(const PartQuestion &question);
Schema::SharedPartTime toShared(const PartBegin &begin);
QuarantinedPart quarantinedFromShared(const Schema::SharedPartTime &shared);
PartQuestion questionFromShared(const Schema::SharedPartTime &shared);
PartBegin beginFromShared(const Schema::SharedPartTime &shared);
/// \a now is the time at which the crash is sent or was received.
Schema::SharedPartCrash toShared(const PartCrash &crash, Base::MonoTime now);
PartCrash fromShared(const Schema::SharedPartCrash &shared, Base::MonoTime now);

/// Quarantines prompt parts that crash the endpoints that begin to answer requests with them, so
/// that requests with them reach no further endpoints.
///
/// A part that has become a suspect is quarantined only if no peer answers that it saw an answer
/// begin since the first of the crashes. A sound part is thus blamed only if no router of the fleet
/// has served it through several crashes. A quarantine ends early if an answer begins at a router
/// that did not know of it.
class PartQuarantine
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        PartEvidence::Options evidence;
        PartHistory::Options history;
        /// Duration of a quarantine. A part is shared by many requests, all of which are refused if
        /// it is wrongly blamed; a part that does crash endpoints crashes some more after it.
        Base::Duration quarantineTime = std::chrono::minutes(10);
        /// Maximum number of quarantined parts.
        std::size_t maxQuarantined = 256;
        /// Time to wait for answers of peers, which may be in other regions.
        Base::Duration answerWait = std::chrono::milliseconds(250);
    };

    explicit PartQuarantine(Options options);
    ~PartQuarantine();
    PartQuarantine(const PartQuarantine &) = delete;
    PartQuarantine &operator=(const PartQuarantine &) = delete;

    /// Asks all peers about suspects. Returns false if it cannot ask now; the decision is then put
    /// off. Null without peers.
    std::function<bool(const std::vector<PartQuestion> &questions)> ask;
    /// Called when this router has decided to quarantine a part, for which these crashes speak.
    std::function<void(const QuarantinedPart &quarantined, const PartEvidence::Suspect &suspect)>
        decided;
    /// Called when this router has learned that a quarantine was wrong.
    std::function<void(PartHash part)> released;

    /// Records crashes that this router or a peer has noticed. All parts of one request must come
    /// together, as a part is not a suspect if a narrower one explains its crashes.
    void crashed(const std::vector<PartCrash> &crashes);
    /// Records that an endpoint has begun to answer a request of this router.
    void begun(const std::vector<PartHash> &parts);
    /// Records what a peer has answered, or that it has released a part.
    void beginReceived(const PartBegin &begin);
    /// Answers a peer's question; empty if no answer has begun.
    std::optional<PartBegin> answer(const PartQuestion &question) const;
    /// Applies a quarantine that a peer has decided or the store holds. Returns its remaining time
    /// if it was not known yet and this router knows nothing against it.
    std::optional<Base::Duration> quarantineReceived(const QuarantinedPart &quarantined);
    /// Remaining time of a part's quarantine; empty if it is not quarantined.
    std::optional<Base::Duration> timeLeft(PartHash part) const;
    std::vector<QuarantinedPart> quarantined() const;
    /// Crashes of which parts are not acquitted, for a router that starts.
    std::vector<PartCrash> crashes() const { return m_evidence.crashes(now()); }
    /// Whether no part is quarantined, so that no request needs a lookup.
    bool isEmpty() const { return m_table.isEmpty(); }

private:
    void record(const PartCrash &crash);
    void investigate();
    void decide();
    void quarantine(const PartEvidence::Suspect &suspect);
    Base::MonoTime now() const { return m_options.timers->clock().now(); }

    Options m_options;
    PartEvidence m_evidence;
    PartHistory m_history;
    QuarantineTable<PartHash> m_table;
    /// When the crashes began for which this router has quarantined a part.
    absl::flat_hash_map<PartHash, Base::MonoTime> m_decidedOnCrashesSince;
    std::optional<Runtime::TimerId> m_decisionTimer; ///< Set while answers are awaited.
    absl::flat_hash_set<PartHash> m_asked; ///< Suspects about which peers were asked.
};

} // namespace Lagoonbank::Gateway
