#include "fleetsync/quarantinepull.h"

#include "fleetsync/partgossip.h"
#include "fleetsync/routerranking.h"

#include <algorithm>
#include <utility>

namespace Lagoonbank::FleetSync {

std::string_view toString(QuarantinePull::Source source)
{
    switch (source) {
    case QuarantinePull::Source::Peer:
        return "peer";
    case QuarantinePull::Source::Store:
        return "store";
    case QuarantinePull::Source::None:
        break;
    }
    return "none";
}

QuarantinePull::QuarantinePull(Options options)
    : m_options(std::move(options))
    , m_random(m_options.randomSeed)
{ }

QuarantinePull::~QuarantinePull()
{
    m_options.timers->cancel(m_checkTimer);
    m_options.timers->cancel(m_timeoutTimer);
}

void QuarantinePull::start()
{
    m_timeoutTimer = m_options.timers->start(m_options.timeout, [this] { finish(Source::None); });
    checkPeers();
}

void QuarantinePull::checkPeers()
{
    if (m_isFinished || m_isReadingStore)
        return;
    if (m_pendingRequests == 0)
        askPeers();
    m_checkTimer = m_options.timers->start(m_options.peerCheckInterval, [this] { checkPeers(); });
}

void QuarantinePull::askPeers()
{
    std::vector<Runtime::SocketAddress> peers = candidates();
    if (peers.empty() || m_asked.size() >= m_options.maxRequests) {
        const bool isDone = !m_asked.empty() || m_options.arePeersKnown();
        if (isDone && readStore) {
            m_isReadingStore = true;
            readStore();
        }
        return;
    }
    peers.resize(std::min(peers.size(), m_options.parallelRequests));
    m_pendingRequests = peers.size();
    for (const Runtime::SocketAddress &peer : peers) {
        m_asked.push_back(peer);
        ask(peer, [this, isAlive = std::weak_ptr<bool>(m_isAlive)](const auto &answer) {
            if (!isAlive.expired())
                answered(answer);
        });
    }
}

/// The routers that compare crashes of prompt parts come first, as only they know all of these.
std::vector<Runtime::SocketAddress> QuarantinePull::candidates()
{
    std::vector<Runtime::SocketAddress> others = m_options.peers();
    const RouterRanking ranking(m_options.self, others);
    std::vector<Runtime::SocketAddress> ordered =
        ranking.first(PartGossip::comparingRoutersKey, m_options.parallelRequests - 1);
    std::shuffle(others.begin(), others.end(), m_random);
    for (const Runtime::SocketAddress &other : others) {
        if (std::find(ordered.begin(), ordered.end(), other) == ordered.end())
            ordered.push_back(other);
    }
    std::erase_if(ordered, [this](const Runtime::SocketAddress &peer) {
        return std::find(m_asked.begin(), m_asked.end(), peer) != m_asked.end();
    });
    return ordered;
}

void QuarantinePull::answered(const Errors::Result<Schema::QuarantineAnswer> &answer)
{
    --m_pendingRequests;
    const bool isComplete = answer && answer.value().isComplete;
    if (isComplete && received)
        received(answer.value());
    if (isComplete)
        finish(Source::Peer);
    else if (m_pendingRequests == 0 && !m_isFinished)
        askPeers();
}

void QuarantinePull::storeRead()
{
    if (m_isReadingStore)
        finish(Source::Store);
}

void QuarantinePull::finish(Source source)
{
    if (std::exchange(m_isFinished, true))
        return;
    m_options.timers->cancel(m_checkTimer);
    m_options.timers->cancel(m_timeoutTimer);
    if (finished)
        finished(source);
}

} // namespace Lagoonbank::FleetSync
