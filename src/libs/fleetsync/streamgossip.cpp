#include "fleetsync/streamgossip.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Lagoonbank::FleetSync {

namespace {

constexpr std::size_t maxItemsPerDatagram = 32; ///< Streams or questions in one datagram.
/// Size of an empty datagram: IP and UDP headers, version and two counts.
constexpr double emptyDatagramBytes = 46;
constexpr double streamBytes = 16; ///< Size of one stream in a datagram.
constexpr double questionBytes = 8; ///< Size of one question in a datagram.

/// Key by which routers are ranked as writers of a shard. Any fixed key will do, as long as all
/// routers use the same one.
std::uint64_t writersKey(std::uint32_t shard)
{
    constexpr std::uint64_t firstShardKey = 0x73747265616d73;
    return firstShardKey + shard;
}

} // namespace

StreamGossip::StreamGossip(Options options)
    : m_options(std::move(options))
    , m_reportBudget({.rate = m_options.bytesPerSecond, .burst = m_options.burstBytes})
    , m_writerBudget({.rate = m_options.writerBytesPerSecond, .burst = m_options.writerBurstBytes})
    , m_questionBudget(
          {.rate = m_options.questionBytesPerSecond, .burst = m_options.questionBurstBytes})
{ }

StreamGossip::~StreamGossip()
{
    if (m_reportTimer)
        m_options.timers->cancel(*m_reportTimer);
    for (const auto &[stream, question] : m_questions)
        m_options.timers->cancel(question.timer);
}

void StreamGossip::report(const Schema::SharedStream &stream)
{
    m_reports.push_back(stream);
    if (!m_reportTimer)
        m_reportTimer = m_options.timers->start(m_options.reportDelay, [this] { flushReports(); });
}

RouterRanking StreamGossip::ranking() const
{
    return {m_options.self, m_options.silence->answering(m_options.peers()), leavingPeers()};
}

RouterRanking StreamGossip::rankingWith(const Runtime::SocketAddress &silentPeer) const
{
    std::vector<Runtime::SocketAddress> peers = m_options.silence->answering(m_options.peers());
    peers.push_back(silentPeer);
    return {m_options.self, peers, leavingPeers()};
}

std::vector<Runtime::SocketAddress> StreamGossip::leavingPeers() const
{
    if (!m_options.leavingPeers)
        return {};
    return m_options.silence->answering(m_options.leavingPeers());
}

std::uint32_t StreamGossip::shardCount(const RouterRanking &routers) const
{
    const std::size_t perShard = m_options.routersPerShard;
    return static_cast<std::uint32_t>((routers.size() + perShard - 1) / perShard);
}

std::uint32_t StreamGossip::shardOf(const RouterRanking &routers, std::uint64_t stream) const
{
    return static_cast<std::uint32_t>(stream % shardCount(routers));
}

std::optional<std::uint32_t> StreamGossip::shardToWrite(std::uint64_t stream) const
{
    const RouterRanking routers = ranking();
    const std::uint32_t shard = shardOf(routers, stream);
    const bool isWriter = routers.isOwnAmongFirst(writersKey(shard), m_options.writers);
    return isWriter ? std::optional(shard) : std::nullopt;
}

bool StreamGossip::isWriter(std::uint32_t shard) const
{
    return ranking().isOwnAmongFirst(writersKey(shard), m_options.writers);
}

bool StreamGossip::isFirstWriter(std::uint32_t shard) const
{
    return ranking().isOwnAmongFirst(writersKey(shard), 1);
}

std::vector<Runtime::SocketAddress> StreamGossip::writersAndPeers(const RouterRanking &routers,
                                                                  std::uint64_t stream,
                                                                  std::size_t count) const
{
    std::vector<Runtime::SocketAddress> peers =
        routers.first(writersKey(shardOf(routers, stream)), m_options.writers);
    for (Runtime::SocketAddress &peer : routers.firstPeers(stream, count)) {
        if (std::find(peers.begin(), peers.end(), peer) == peers.end())
            peers.push_back(std::move(peer));
    }
    return peers;
}

std::vector<Runtime::SocketAddress> StreamGossip::writersApart(const RouterRanking &routers,
                                                               std::uint64_t stream) const
{
    const auto holders = routers.firstPeers(stream, m_options.holders);
    auto writers = routers.first(writersKey(shardOf(routers, stream)), m_options.writers);
    std::erase_if(writers, [&holders](const Runtime::SocketAddress &writer) {
        return std::find(holders.begin(), holders.end(), writer) != holders.end();
    });
    return writers;
}

void StreamGossip::flushReports()
{
    m_reportTimer.reset();
    const std::vector<Schema::SharedStream> streams = std::exchange(m_reports, {});
    const auto holders = [this](const RouterRanking &routers, std::uint64_t stream) {
        return routers.firstPeers(stream, m_options.holders);
    };
    sendStreams(streams, holders, m_reportBudget);
    const auto writers = [this](const RouterRanking &routers, std::uint64_t stream) {
        return writersApart(routers, stream);
    };
    sendStreams(streams, writers, m_writerBudget);
}

void StreamGossip::handOver(const std::vector<Schema::SharedStream> &streams)
{
    Admission::Gcra budget({.rate = m_options.bytesPerSecond, .burst = m_options.handOverBytes});
    const auto askedRouters = [this](const RouterRanking &routers, std::uint64_t stream) {
        return writersAndPeers(routers, stream, m_options.askedRouters);
    };
    sendStreams(streams, askedRouters, budget);
}

std::vector<Schema::SharedStream>
StreamGossip::streamsFor(const Runtime::SocketAddress &peer,
                         const std::vector<Schema::SharedStream> &streams) const
{
    const RouterRanking routers = ranking();
    std::vector<Schema::SharedStream> chosen;
    for (const Schema::SharedStream &stream : streams) {
        const std::uint64_t writers = writersKey(shardOf(routers, stream.stream));
        if (routers.isAmongFirst(peer, writers, m_options.writers)
            || routers.isAmongFirst(peer, stream.stream, m_options.askedRouters)) {
            chosen.push_back(stream);
        }
    }
    return chosen;
}

void StreamGossip::sendStreams(const std::vector<Schema::SharedStream> &streams,
                               const ChooseReceivers &receivers, Admission::Gcra &budget)
{
    const RouterRanking routers = ranking();
    std::map<Runtime::SocketAddress, Schema::StreamUpdate> datagrams;
    for (const Schema::SharedStream &stream : streams) {
        for (const Runtime::SocketAddress &router : receivers(routers, stream.stream)) {
            Schema::StreamUpdate &message = datagrams[router];
            message.streams.push_back(stream);
            if (message.streams.size() < maxItemsPerDatagram)
                continue;
            sendStreamsTo(router, message, budget);
            message.streams.clear();
        }
    }
    for (const auto &[router, message] : datagrams) {
        if (!message.streams.empty())
            sendStreamsTo(router, message, budget);
    }
}

void StreamGossip::sendStreamsTo(const Runtime::SocketAddress &router,
                                 const Schema::StreamUpdate &message, Admission::Gcra &budget)
{
    if (!sendWithinBudget(budget, router, message) || m_options.silence->isConfirmed(router))
        return;
    auto &unconfirmed = m_unconfirmed[router];
    unconfirmed.insert(unconfirmed.end(), message.streams.begin(), message.streams.end());
    m_options.silence->confirm(router);
}

void StreamGossip::peerFellSilent(const Runtime::SocketAddress &peer)
{
    const auto streams = m_unconfirmed.extract(peer);
    if (streams.empty())
        return;
    // Without the silent peer, others are the last holder and, if it was one, the last writer.
    const RouterRanking before = rankingWith(peer);
    const auto newReceivers = [this, &before](const RouterRanking &routers, std::uint64_t stream) {
        const auto known = writersAndPeers(before, stream, m_options.holders);
        std::vector<Runtime::SocketAddress> receivers =
            writersAndPeers(routers, stream, m_options.holders);
        std::erase_if(receivers, [&known](const Runtime::SocketAddress &receiver) {
            return std::find(known.begin(), known.end(), receiver) != known.end();
        });
        return receivers;
    };
    sendStreams(streams.mapped(), newReceivers, m_reportBudget);
}

bool StreamGossip::sendWithinBudget(Admission::Gcra &budget, const Runtime::SocketAddress &to,
                                    const Schema::StreamUpdate &message)
{
    const double cost = emptyDatagramBytes
        + streamBytes * static_cast<double>(message.streams.size())
        + questionBytes * static_cast<double>(message.asked.size());
    const Base::MonoTime now = m_options.timers->clock().now();
    if (!send || budget.waitFor(cost, now) != Base::Duration::zero()) {
        m_dropped += message.streams.size() + message.asked.size();
        return false;
    }
    budget.charge(cost, now);
    send(to, message);
    return true;
}

void StreamGossip::ask(std::uint64_t stream, Answered answered)
{
    Question &question = m_questions[stream];
    question.answered.push_back(std::move(answered));
    if (question.answered.size() > 1)
        return; // The peers have been asked already.
    if (!askNext(stream, question)) {
        question.timer = m_options.timers->start(
            Base::Duration::zero(), [this, stream] { finishQuestion(stream, std::nullopt); });
    }
}

bool StreamGossip::askNext(std::uint64_t stream, Question &question)
{
    std::vector<Runtime::SocketAddress> next =
        writersAndPeers(ranking(), stream, question.asked.size() + m_options.askedRouters);
    std::erase_if(next, [&question](const Runtime::SocketAddress &router) {
        return std::find(question.asked.begin(), question.asked.end(), router)
            != question.asked.end();
    });
    next.resize(std::min(next.size(), m_options.askedRouters + m_options.writers));
    if (next.empty())
        return false;
    ++question.rounds;
    question.askedAt = m_options.timers->clock().now();
    question.openAnswers += next.size();
    question.asked.insert(question.asked.end(), next.begin(), next.end());
    question.timer =
        m_options.timers->start(m_options.askTimeout, [this, stream] { questionTimedOut(stream); });
    std::vector<Runtime::SocketAddress> sentTo;
    for (const Runtime::SocketAddress &router : next) {
        if (sendWithinBudget(m_questionBudget, router, {.asked = {stream}}))
            sentTo.push_back(router);
    }
    if (const auto found = m_questions.find(stream); found != m_questions.end())
        found->second.lastAsked = std::move(sentTo);
    return true;
}

void StreamGossip::questionTimedOut(std::uint64_t stream)
{
    const auto found = m_questions.find(stream);
    if (found == m_questions.end())
        return;
    Question &question = found->second;
    std::size_t silent = 0;
    for (const Runtime::SocketAddress &router : question.lastAsked)
        silent += m_options.silence->unanswered(router, question.askedAt) ? 1 : 0;
    question.openAnswers -= std::min(question.openAnswers, silent);
    const bool isLast = silent == 0 || question.rounds >= m_options.maxQuestionRounds;
    if (isLast || !askNext(stream, question))
        finishQuestion(stream, std::nullopt);
}

void StreamGossip::receive(const Runtime::SocketAddress &from, const Schema::StreamUpdate &message)
{
    for (const Schema::SharedStream &stream : message.streams)
        answerReceived(stream);
    if (!message.asked.empty())
        answer(from, message.asked);
}

/// Handles a report or an answer; both say which version began the stream.
void StreamGossip::answerReceived(const Schema::SharedStream &stream)
{
    if (stream.software != 0) {
        if (received)
            received(stream);
        finishQuestion(stream.stream, stream.software);
        return;
    }
    const auto question = m_questions.find(stream.stream);
    if (question == m_questions.end())
        return;
    question->second.openAnswers -= std::min<std::size_t>(question->second.openAnswers, 1);
    if (question->second.openAnswers == 0)
        finishQuestion(stream.stream, std::nullopt);
}

void StreamGossip::answer(const Runtime::SocketAddress &from,
                          const std::vector<std::uint64_t> &streams)
{
    Schema::StreamUpdate message;
    for (const std::uint64_t stream : streams)
        message.streams.push_back({.stream = stream, .software = find ? find(stream) : 0});
    sendWithinBudget(m_questionBudget, from, message);
}

void StreamGossip::finishQuestion(std::uint64_t stream, std::optional<std::uint64_t> software)
{
    auto question = m_questions.extract(stream);
    if (question.empty())
        return;
    m_options.timers->cancel(question.mapped().timer);
    for (const Answered &answered : question.mapped().answered)
        answered(software);
}

} // namespace Lagoonbank::FleetSync
