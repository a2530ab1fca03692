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

} // namespace

StreamGossip::StreamGossip(Options options)
    : m_options(std::move(options))
    , m_reportBudget({.rate = m_options.bytesPerSecond, .burst = m_options.burstBytes})
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
    std::vector<Runtime::SocketAddress> leaving;
    if (m_options.leavingPeers)
        leaving = m_options.silence->answering(m_options.leavingPeers());
    return {m_options.self, m_options.silence->answering(m_options.peers()), leaving};
}

void StreamGossip::flushReports()
{
    m_reportTimer.reset();
    sendStreams(std::exchange(m_reports, {}), firstPeers(m_options.holders), m_reportBudget);
}

void StreamGossip::handOver(const std::vector<Schema::SharedStream> &streams)
{
    Admission::Gcra budget({.rate = m_options.bytesPerSecond, .burst = m_options.handOverBytes});
    sendStreams(streams, firstPeers(m_options.askedRouters), budget);
}

std::vector<Schema::SharedStream>
StreamGossip::streamsFor(const Runtime::SocketAddress &peer,
                         const std::vector<Schema::SharedStream> &streams) const
{
    const RouterRanking routers = ranking();
    std::vector<Schema::SharedStream> chosen;
    for (const Schema::SharedStream &stream : streams) {
        if (routers.isAmongFirst(peer, stream.stream, m_options.askedRouters))
            chosen.push_back(stream);
    }
    return chosen;
}

StreamGossip::ChooseReceivers StreamGossip::firstPeers(std::size_t count)
{
    return [count](const RouterRanking &routers, std::uint64_t stream) {
        return routers.firstPeers(stream, count);
    };
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
    // Without the silent peer, the last holder is a new one.
    const auto newHolder = [this](const RouterRanking &routers, std::uint64_t stream) {
        std::vector<Runtime::SocketAddress> holders = routers.firstPeers(stream, m_options.holders);
        if (holders.size() < m_options.holders)
            return std::vector<Runtime::SocketAddress>();
        return std::vector<Runtime::SocketAddress>{std::move(holders.back())};
    };
    sendStreams(streams.mapped(), newHolder, m_reportBudget);
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
        ranking().firstPeers(stream, question.asked.size() + m_options.askedRouters);
    std::erase_if(next, [&question](const Runtime::SocketAddress &router) {
        return std::find(question.asked.begin(), question.asked.end(), router)
            != question.asked.end();
    });
    next.resize(std::min(next.size(), m_options.askedRouters));
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
