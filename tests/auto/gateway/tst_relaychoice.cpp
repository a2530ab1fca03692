#define BOOST_TEST_MODULE tst_relaychoice
#include "auto/gateway/partition.h"

#include <deque>
#include <set>
#include <string>

using namespace Lagoonbank;
using Lagoonbank::Test::RawSocket;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The choice of the peers to which a router relays while it cannot reach the endpoints itself.

namespace {

/// A router that gets a request each 50 ms and relays it. Some of its peers reach no endpoint
/// either and refuse at once, the others answer after 100 ms.
struct RelayChoice : Partition
{
    RelayChoice(int peerCount, std::set<std::size_t> partitionedPeers)
        : Partition(RouteKind::Idempotent, peerCount)
        , partitioned(std::move(partitionedPeers))
        , m_handled(peers.size())
    { }
    /// Runs for this time, and counts from zero.
    void runFor(Base::Duration time)
    {
        answered = relays = refusals = 0;
        const Base::MonoTime end = clock.now() + time;
        while (clock.now() < end) {
            m_callers.push_back(call());
            const Base::MonoTime next = clock.now() + milliseconds(50);
            while (clock.now() < next) {
                pass(milliseconds(5));
                handlePeers();
            }
            countAnswers();
        }
    }

    std::set<std::size_t> partitioned; ///< Peers that reach no endpoint.
    int answered = 0;
    int relays = 0;
    int refusals = 0; ///< By peers, as they reach no endpoint.

private:
    struct PendingAnswer
    {
        Base::MonoTime due;
        RawSocket *connection = nullptr;
        std::string text;
    };

    void handlePeers()
    {
        for (std::size_t i = 0; i < peers.size(); ++i) {
            peers[i]->accept();
            auto &connections = peers[i]->connections;
            for (; m_handled[i] < connections.size(); ++m_handled[i]) {
                if (!connections[m_handled[i]]->socket.has("\r\n\r\n"))
                    break;
                handleRelay(i, connections[m_handled[i]]->socket);
            }
        }
        while (!m_pending.empty() && m_pending.front().due <= clock.now()) {
            m_pending.front().connection->send(m_pending.front().text);
            m_pending.pop_front();
        }
    }
    void handleRelay(std::size_t peer, RawSocket &connection)
    {
        ++relays;
        const std::string head = connection.receive();
        const std::size_t id = head.find("x-id: ");
        const std::string idField = head.substr(id, head.find("\r\n", id) - id) + "\r\n";
        if (partitioned.contains(peer)) {
            ++refusals;
            connection.send("HTTP/1.1 503 Busy\r\n" + idField
                            + "x-not-run: 1\r\nx-no-endpoint: 1\r\n"
                              "connection: close\r\ncontent-length: 4\r\n\r\nbusy");
            return;
        }
        m_pending.push_back({.due = clock.now() + milliseconds(100),
                             .connection = &connection,
                             .text = "HTTP/1.1 200 OK\r\n" + idField
                                 + "x-endpoint: e0\r\nconnection: close\r\n"
                                   "content-length: 4\r\n\r\ngood"});
    }
    void countAnswers()
    {
        while (!m_callers.empty()
               && (m_callers.front().has("good") || m_callers.front().has("ran="))) {
            answered += m_callers.front().has("good") ? 1 : 0;
            m_callers.pop_front();
        }
    }

    std::vector<std::size_t> m_handled; ///< Connections of each peer that were handled.
    std::deque<PendingAnswer> m_pending;
    std::deque<RawSocket> m_callers;
};

} // namespace

/// Guards against relays to peers that reach no endpoint either: a refusal leaves neither load nor
/// latency behind, so that such a peer looks better than one that answers.
BOOST_AUTO_TEST_CASE(peersThatReachTheEndpointsArePreferred)
{
    RelayChoice f(4, {0, 1});
    f.runFor(seconds(3));
    f.runFor(seconds(4));
    BOOST_TEST(f.answered >= 76);
    BOOST_TEST(f.refusals <= 0.05 * f.relays);
}

/// Guards against relays that find out again and again that no router reaches an endpoint.
BOOST_AUTO_TEST_CASE(fewRelaysAreTriedIfNoPeerReachesTheEndpoints)
{
    RelayChoice f(4, {0, 1, 2, 3});
    f.runFor(seconds(3));
    f.runFor(seconds(4));
    BOOST_TEST(f.answered == 0);
    BOOST_TEST(f.relays <= 4 * 3);
    BOOST_TEST(f.relays >= 4);
}

/// Guards against peers that stay unused after the end of their partition.
BOOST_AUTO_TEST_CASE(peersAreUsedAgainAfterTheirPartition)
{
    RelayChoice f(4, {0, 1, 2, 3});
    f.runFor(seconds(5));
    f.partitioned = {0, 1, 2};
    f.runFor(seconds(2));
    f.runFor(seconds(2));
    BOOST_TEST(f.answered >= 36);
}

/// Guards against relays to a peer that has lost its endpoints since its last answer.
BOOST_AUTO_TEST_CASE(peerThatLosesItsEndpointsIsLeft)
{
    RelayChoice f(4, {});
    f.runFor(seconds(3));
    f.partitioned = {0, 1, 2};
    f.runFor(seconds(1));
    f.runFor(seconds(3));
    BOOST_TEST(f.answered >= 57);
    BOOST_TEST(f.refusals <= 0.05 * f.relays);
}
