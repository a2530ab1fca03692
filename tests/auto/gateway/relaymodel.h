#pragma once

#include "gateway/peerrouters.h"
#include "gateway/placement.h"
#include "logging/boundedoutput.h"
#include "logging/decisionlog.h"
#include "routing/rendezvous.h"
#include "runtime/clock.h"

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Simulates the relays of a fleet of routers of which some have lost their paths to all endpoints,
/// on a virtual clock and without a network. The choice of peers is that of the product; a relay is
/// refused at once, or occupies the peer for the time of an answer.
class RelayModel
{
public:
    enum class Choice {
        LeastLoaded, ///< By load and latency among all peers, whatever they answered.
        ByOutcome, ///< By what earlier relays to a peer have shown.
        ByNames, ///< The same, and refusals name peers that reach the endpoints.
        ByGossip, ///< By outcome, and each router tells a random one each second what it reaches.
        SecondHop ///< By outcome, and a peer without endpoints relays to one that it knows.
    };
    struct Options
    {
        Choice choice = Choice::ByNames;
        int routers = 83;
        int dataCentres = 5;
        double cutShare = 0.5; ///< Share of the routers that are cut off.
        bool cutsWholeDataCentres = false;
        std::size_t maxPeers = 64; ///< Number of peers that a router may relay to.
        double requestsPerSecond = 6; ///< Requests of callers at one router.
        double restartsPerSecond = 0; ///< Routers that restart, and then know nothing.
        double gossipDelay = 0; ///< Seconds until a message of ByGossip arrives.
        double cutEndsFor = 0; ///< Share of the routers whose partition ends after 6 s.
        double seconds = 12;
        unsigned seed = 1;
    };
    struct Result
    {
        int requests = 0; ///< At routers that are cut off; all figures are from 3 s on.
        int served = 0;
        int relays = 0;
        int refused = 0; ///< Relays that a peer refused as it reaches no endpoint.
        double bytesPerSecond = 0; ///< Of knowledge, sent by one router on average.
        double mostOverMean = 0; ///< Relays to one router that reaches endpoints.
        double servedShare() const { return requests > 0 ? double(served) / requests : 1; }
        double refusedShare() const { return relays > 0 ? double(refused) / relays : 0; }
    };

    explicit RelayModel(Options options)
        : m_options(options)
        , m_random(options.seed)
        , m_routers(static_cast<std::size_t>(options.routers))
    {
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            m_routers[i].dataCentre =
                i * static_cast<std::size_t>(options.dataCentres) / m_routers.size();
            m_routers[i].isCutOff = options.cutsWholeDataCentres
                ? double(m_routers[i].dataCentre) < options.cutShare * options.dataCentres - 0.01
                : unit() < options.cutShare;
        }
        for (std::size_t i = 0; i < m_routers.size(); ++i)
            start(i);
    }

    Result run()
    {
        constexpr double step = 0.005;
        for (m_now = 0; m_now < m_options.seconds; m_now += step) {
            m_clock.advance(std::chrono::milliseconds(5));
            finishAnswers();
            deliverGossip();
            if (m_now >= 6 && m_options.cutEndsFor > 0) {
                for (Router &router : m_routers)
                    router.isCutOff = router.isCutOff && unit() >= m_options.cutEndsFor;
                m_options.cutEndsFor = 0;
            }
            for (std::size_t i = 0; i < m_routers.size(); ++i) {
                if (m_routers[i].isCutOff && unit() < m_options.requestsPerSecond * step)
                    call(i);
                if (m_options.choice == Choice::ByGossip && unit() < step)
                    gossip(i);
            }
            if (unit() < m_options.restartsPerSecond * step)
                start(index());
        }
        summarize();
        return m_result;
    }

private:
    using EndpointPtr = Lagoonbank::Gateway::EndpointPtr;

    struct Router
    {
        std::size_t dataCentre = 0;
        bool isCutOff = false;
        int received = 0; ///< Relays that it served.
        std::unique_ptr<Lagoonbank::Gateway::PeerRouters> peers;
    };
    struct Answer
    {
        double at = 0;
        std::size_t router = 0;
        std::size_t peer = 0;
        Lagoonbank::Gateway::PeerRouters *sender = nullptr; ///< It may have restarted since.
    };
    struct Message
    {
        double at = 0;
        std::size_t to = 0;
        std::size_t from = 0;
        bool isCutOff = false;
    };

    static constexpr double firstCounted = 3;
    static constexpr double answerSeconds = 0.1;
    static constexpr int maxCutOffPeers = 8;
    static constexpr int maxAttempts = 4;
    static constexpr double bytesOfName = 24; ///< An id, and its part of the header field.
    static constexpr double bytesOfMessage = 44; ///< IP, UDP, the router and the service.

    double unit() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    std::size_t index() { return m_random() % m_routers.size(); }
    bool isCounted() const { return m_now >= firstCounted; }
    static std::string name(std::size_t router) { return "edge-hall-" + std::to_string(router); }
    static std::size_t number(const EndpointPtr &peer)
    {
        return std::stoul(peer->info.id.value().substr(std::string("edge-hall-").size()));
    }

    void start(std::size_t router)
    {
        using namespace Lagoonbank;
        const Base::DataCentreId own("dc" + std::to_string(m_routers[router].dataCentre));
        auto peers = std::make_unique<Gateway::PeerRouters>(
            Gateway::PeerRouters::Options{.timers = &m_timers,
                                          .log = &m_log,
                                          .check = [](auto &&...) {},
                                          .self = Base::VmId(name(router)),
                                          .dataCentre = own});
        std::vector<std::pair<std::uint64_t, std::size_t>> order;
        const std::uint64_t self = Routing::stableHash(name(router));
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            if (i != router)
                order.emplace_back(Routing::mixHashes(self, Routing::stableHash(name(i))), i);
        }
        std::sort(order.begin(), order.end());
        order.resize(std::min(order.size(), m_options.maxPeers));
        std::vector<Gateway::PeerRouter> known;
        for (const auto &[hash, i] : order) {
            const Base::DataCentreId dataCentre("dc" + std::to_string(m_routers[i].dataCentre));
            known.push_back({.id = Base::VmId(name(i)), .dataCentre = dataCentre});
        }
        peers->set(known);
        if (m_routers[router].peers)
            m_ended.push_back(std::move(m_routers[router].peers));
        m_routers[router].peers = std::move(peers);
    }

    EndpointPtr choose(std::size_t router, const std::vector<EndpointPtr> &tried)
    {
        using namespace Lagoonbank;
        Gateway::PeerRouters &peers = *m_routers[router].peers;
        if (m_options.choice != Choice::LeastLoaded)
            return peers.choose(m_service, tried, true).peer;
        const Gateway::PlacementResult result = m_placement.choose(
            {.service = Base::ServiceId("routers"), .mayRepeat = true, .triedEndpoints = tried},
            peers.registry(), m_clock.now());
        const bool isLastResort = result.reason == Gateway::PlacementReason::LastResort;
        return isLastResort ? nullptr : result.endpoint;
    }

    void call(std::size_t router)
    {
        if (isCounted())
            ++m_result.requests;
        const int maxRefusals =
            m_options.choice == Choice::LeastLoaded ? maxAttempts : maxCutOffPeers;
        std::vector<EndpointPtr> tried;
        while (static_cast<int>(tried.size()) < maxRefusals) {
            const EndpointPtr peer = choose(router, tried);
            if (!peer)
                return;
            tried.push_back(peer);
            if (relay(router, peer)) {
                if (isCounted())
                    ++m_result.served;
                return;
            }
        }
    }

    /// Whether the relay is answered.
    bool relay(std::size_t router, const EndpointPtr &peer)
    {
        using namespace Lagoonbank;
        Gateway::PeerRouters &own = *m_routers[router].peers;
        Router &other = m_routers[number(peer)];
        if (isCounted())
            ++m_result.relays;
        std::size_t server = number(peer);
        if (other.isCutOff && m_options.choice == Choice::SecondHop) {
            const auto known = other.peers->reachingPeers(m_service);
            if (!known.empty())
                server = std::stoul(known.front().substr(std::string("edge-hall-").size()));
        }
        if (!m_routers[server].isCutOff) {
            if (isCounted())
                ++m_routers[server].received;
            if (server == number(peer))
                own.answered(m_service, *peer);
            own.registry().requestSent(*peer, m_clock.now());
            m_answers.push_back({m_now + answerSeconds, router, number(peer), &own});
            return true;
        }
        Gateway::RelayRefusal refusal{.hasNoEndpoint = true};
        if (m_options.choice == Choice::ByNames)
            refusal.reachingPeers = other.peers->reachingPeers(m_service);
        if (isCounted()) {
            ++m_result.refused;
            m_bytes += bytesOfName * static_cast<double>(refusal.reachingPeers.size());
        }
        if (m_options.choice != Choice::LeastLoaded)
            own.refused(m_service, *peer, refusal);
        own.health().requestRefused(*peer, false, Base::RequestId("r"));
        return false;
    }

    void finishAnswers()
    {
        using namespace Lagoonbank;
        while (!m_answers.empty() && m_answers.front().at <= m_now) {
            const Answer answer = m_answers.front();
            m_answers.erase(m_answers.begin());
            Gateway::EndpointRegistry &registry = answer.sender->registry();
            const EndpointPtr peer = registry.find(Base::EndpointId(name(answer.peer)));
            registry.requestEnded(*peer);
            registry.answerTimed(*peer, std::chrono::milliseconds(100),
                                 std::chrono::milliseconds(400), m_clock.now());
        }
    }

    void gossip(std::size_t router)
    {
        if (isCounted())
            m_bytes += bytesOfMessage;
        m_messages.push_back(
            {m_now + m_options.gossipDelay, index(), router, m_routers[router].isCutOff});
    }

    void deliverGossip()
    {
        using namespace Lagoonbank;
        while (!m_messages.empty() && m_messages.front().at <= m_now) {
            const Message message = m_messages.front();
            m_messages.erase(m_messages.begin());
            Gateway::PeerRouters &peers = *m_routers[message.to].peers;
            const EndpointPtr from = peers.registry().find(Base::EndpointId(name(message.from)));
            if (!from)
                continue;
            if (message.isCutOff)
                peers.refused(m_service, *from, {.hasNoEndpoint = true});
            else
                peers.answered(m_service, *from);
        }
    }

    void summarize()
    {
        int most = 0;
        int sum = 0;
        int count = 0;
        for (const Router &router : m_routers) {
            most = std::max(most, router.received);
            sum += router.received;
            count += router.isCutOff ? 0 : 1;
        }
        m_result.mostOverMean = sum > 0 ? double(most) * count / sum : 0;
        const double time = m_options.seconds - firstCounted;
        m_result.bytesPerSecond = m_bytes / time / static_cast<double>(m_routers.size());
    }

    Options m_options;
    std::mt19937 m_random;
    Lagoonbank::Runtime::ManualClock m_clock;
    Lagoonbank::Runtime::TimerQueue m_timers{m_clock};
    Lagoonbank::Logging::BoundedOutput m_output{{.descriptor = -1}};
    Lagoonbank::Logging::DecisionLog m_log{{.output = &m_output,
                                            .wallNow = [this] { return m_clock.wallNow(); },
                                            .now = [this] { return m_clock.now(); }}};
    Lagoonbank::Gateway::Placement m_placement{{}};
    Lagoonbank::Base::ServiceId m_service{"model"};
    std::vector<Router> m_routers;
    std::vector<std::unique_ptr<Lagoonbank::Gateway::PeerRouters>> m_ended;
    std::vector<Answer> m_answers;
    std::vector<Message> m_messages;
    double m_now = 0;
    double m_bytes = 0;
    Result m_result;
};
