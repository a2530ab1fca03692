#pragma once

#include "admission/gcra.h"
#include "fleetsync/peersilence.h"
#include "fleetsync/routerranking.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"
#include "schema/generated/fleetsync.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Lagoonbank::FleetSync {

/// Gossip about streams: reports to other routers which software version began a stream, so that
/// any router can resume it there, also after the router that began it has ended.
///
/// A stream is reported to a few routers, which are chosen by its hash. A router that does not know
/// a stream asks these, and some more. Reporting every stream to every router would exceed the
/// control traffic that a large fleet may cause. A router that stops reports the streams that it
/// breaks off once more, as the first receivers may have restarted since, and one that starts gets
/// those that it will be asked for from peers. Peers that do not answer are replaced by others.
///
/// Pure: time comes from the timers, messages go out through the hooks.
class StreamGossip
{
public:
    /// Hash of a software version; empty if no router knows it.
    using Answered = std::function<void(std::optional<std::uint64_t> software)>;

    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        std::function<std::vector<Runtime::SocketAddress>()> peers;
        /// Returns peers that are shutting down. They still answer and serve for some seconds, and
        /// are used where there are too few others. A peer may also have started again unnoticed.
        std::function<std::vector<Runtime::SocketAddress>()> leavingPeers;
        PeerSilence *silence = nullptr;
        Runtime::SocketAddress self; ///< Address at which peers reach this router.
        /// Number of routers that know a stream beside the one that began it. Several routers may
        /// end at the same time.
        std::size_t holders = 3;
        /// Number of routers that write a stream to the store. Two, so that the one that is left
        /// writes on while the end of the other is not known.
        std::size_t writers = 2;
        /// Budget for reports to the writers, apart from that for the holders.
        double writerBytesPerSecond = 3000;
        double writerBurstBytes = 48000;
        /// Number of routers that have their streams written by the same writers, which then get
        /// the streams of these routers.
        std::size_t routersPerShard = 100;
        /// Maximum size of a fleet in which each router reads and writes all that the store keeps
        /// of streams and software versions.
        std::size_t smallFleet = 24;
        /// Number of routers that are asked for a stream. There are more than holders, as a router
        /// that has just started reports to those that it knows by then.
        std::size_t askedRouters = 6;
        /// Number of times that further routers are asked in place of those that do not answer.
        int maxQuestionRounds = 3;
        /// Budget for reports. What exceeds it is dropped.
        double bytesPerSecond = 3000;
        /// Maximum size of a burst of reports. Each router reports some hundred streams at once
        /// when another version begins to serve.
        double burstBytes = 48000;
        /// Budget for questions and answers. It is apart, so that streams that begin don't keep
        /// others from being resumed.
        double questionBytesPerSecond = 2700;
        /// Maximum size of a burst of questions and answers. Some hundred streams are resumed at
        /// the same moment when a router ends.
        double questionBurstBytes = 128000;
        /// Maximum size of what a router that stops reports.
        double handOverBytes = 96000;
        /// Time for which reports are collected into one datagram for each router. By default those
        /// of one iteration of the event loop: a caller may lose its connection and resume the
        /// stream a few ms after the first event.
        Base::Duration reportDelay{};
        /// Time after which routers that have not answered a question count as silent, and others
        /// are asked. Peers are a few ms away.
        Base::Duration askTimeout = std::chrono::milliseconds(50);
    };

    explicit StreamGossip(Options options);
    ~StreamGossip();
    StreamGossip(const StreamGossip &) = delete;
    StreamGossip &operator=(const StreamGossip &) = delete;

    std::function<void(const Runtime::SocketAddress &to, const Schema::StreamUpdate &message)> send;
    std::function<void(const Schema::SharedStream &stream)> received;
    /// Returns the hash of the version that began the stream; 0 if this router does not know it.
    std::function<std::uint64_t(std::uint64_t stream)> find;

    void report(const Schema::SharedStream &stream);
    /// Reports streams at once to all routers that are asked for them. To be called when this
    /// router is about to end, and its streams break off.
    void handOver(const std::vector<Schema::SharedStream> &streams);
    /// Number of groups into which streams are divided by the remainder of their hash. Each has its
    /// own writers.
    std::uint32_t shardCount() const { return shardCount(ranking()); }
    /// The shard of a stream if this router is one of its writers.
    std::optional<std::uint32_t> shardToWrite(std::uint64_t stream) const;
    bool isSmallFleet() const { return ranking().size() <= m_options.smallFleet; }
    /// Whether this router writes the streams of this shard to the store.
    bool isWriter(std::uint32_t shard) const;
    /// Whether this router is the first of the writers of this shard.
    bool isFirstWriter(std::uint32_t shard) const;
    /// Those of the streams for which other routers ask this peer.
    std::vector<Schema::SharedStream>
    streamsFor(const Runtime::SocketAddress &peer,
               const std::vector<Schema::SharedStream> &streams) const;
    /// Asks peers for the version that began a stream. \a answered is called once, later than this
    /// function returns, unless the gossip is destroyed first.
    void ask(std::uint64_t stream, Answered answered);
    void receive(const Runtime::SocketAddress &from, const Schema::StreamUpdate &message);
    /// Reports the streams to others that a peer was told of and has not confirmed.
    void peerFellSilent(const Runtime::SocketAddress &peer);
    /// A peer has confirmed that it receives what is sent to it.
    void peerAnswered(const Runtime::SocketAddress &peer) { m_unconfirmed.erase(peer); }
    /// Number of reports and questions that were not sent for lack of budget, once for each
    /// receiver.
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct Question
    {
        std::vector<Answered> answered;
        std::vector<Runtime::SocketAddress> asked; ///< In all rounds.
        std::vector<Runtime::SocketAddress>
            lastAsked; ///< In the last round, without those dropped.
        Base::MonoTime askedAt{}; ///< Time of the last round.
        int rounds = 0;
        std::size_t openAnswers = 0;
        Runtime::TimerId timer;
    };

    RouterRanking ranking() const;
    /// The ranking with a peer that does not answer.
    RouterRanking rankingWith(const Runtime::SocketAddress &silentPeer) const;
    std::vector<Runtime::SocketAddress> leavingPeers() const;
    std::uint32_t shardCount(const RouterRanking &routers) const;
    std::uint32_t shardOf(const RouterRanking &routers, std::uint64_t stream) const;
    /// The writers of a stream, then the first \a count peers by its hash. No peer comes twice.
    std::vector<Runtime::SocketAddress>
    writersAndPeers(const RouterRanking &routers, std::uint64_t stream, std::size_t count) const;
    /// The writers of a stream that are not among its holders.
    std::vector<Runtime::SocketAddress> writersApart(const RouterRanking &routers,
                                                     std::uint64_t stream) const;
    void flushReports();
    using ChooseReceivers = std::function<std::vector<Runtime::SocketAddress>(
        const RouterRanking &routers, std::uint64_t stream)>;
    /// Sends each stream to its receivers, in few datagrams.
    void sendStreams(const std::vector<Schema::SharedStream> &streams,
                     const ChooseReceivers &receivers, Admission::Gcra &budget);
    bool sendWithinBudget(Admission::Gcra &budget, const Runtime::SocketAddress &to,
                          const Schema::StreamUpdate &message);
    void sendStreamsTo(const Runtime::SocketAddress &router, const Schema::StreamUpdate &message,
                       Admission::Gcra &budget);
    /// Asks the first routers that have not been asked; returns false if there are none. An answer
    /// may end the question meanwhile.
    bool askNext(std::uint64_t stream, Question &question);
    void questionTimedOut(std::uint64_t stream);
    void answer(const Runtime::SocketAddress &from, const std::vector<std::uint64_t> &streams);
    void answerReceived(const Schema::SharedStream &stream);
    void finishQuestion(std::uint64_t stream, std::optional<std::uint64_t> software);

    Options m_options;
    Admission::Gcra m_reportBudget;
    Admission::Gcra m_writerBudget;
    Admission::Gcra m_questionBudget;
    std::vector<Schema::SharedStream> m_reports; ///< Not sent yet.
    std::optional<Runtime::TimerId> m_reportTimer;
    /// Streams that were sent to peers that have not been heard for a while.
    std::map<Runtime::SocketAddress, std::vector<Schema::SharedStream>> m_unconfirmed;
    absl::flat_hash_map<std::uint64_t, Question> m_questions; ///< By stream.
    std::uint64_t m_dropped = 0;
};

} // namespace Lagoonbank::FleetSync
