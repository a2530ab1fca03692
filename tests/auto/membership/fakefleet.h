#pragma once

#include "membership/membership.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Lagoonbank::Tests {

/// A fleet of Membership objects on a simulated clock, connected by an in-memory network with
/// seeded loss, delay, reordering, duplicates and partitions.
class FakeFleet
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        double lossFraction = 0; ///< Fraction of the datagrams that are lost.
        double duplicateFraction = 0; ///< Fraction of the datagrams that are delivered twice.
        Base::Duration minDelay = std::chrono::microseconds(200);
        Base::Duration maxDelay = std::chrono::milliseconds(3);
        Base::Duration step = std::chrono::milliseconds(20);
        std::size_t vms = 6;
        std::size_t dataCentres = 4;
        std::size_t regions = 1;
        bool withControllers = false;
    };
    struct Event
    {
        Base::MonoTime at;
        std::string member;
        Membership::MemberEvent what;
    };
    struct Node
    {
        Membership::MemberUpdate info;
        std::unique_ptr<Membership::ControlBudget> budget;
        std::unique_ptr<Membership::PeerCodec> codec;
        std::unique_ptr<Membership::Membership> membership;
        std::vector<Event> events;
        std::set<std::string> leavingSeen;
        std::uint64_t pulls = 0;
        bool isRunning = true;
        bool isPaused = false;
    };

    explicit FakeFleet(const Options &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (std::size_t vm = 0; vm < options.vms; ++vm) {
            addNode(vm, Membership::MemberRole::Router);
            if (options.withControllers)
                addNode(vm, Membership::MemberRole::Controller);
        }
        std::vector<Runtime::SocketAddress> seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(m_nodes.size(), 4); ++i)
            seeds.push_back(Membership::toSocketAddress(m_nodes[i]->info));
        m_seeds = seeds;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start(i, firstIncarnation);
    }

    Base::MonoTime now() const { return m_now; }
    std::size_t size() const { return m_nodes.size(); }
    Node &node(std::size_t i) { return *m_nodes.at(i); }
    Membership::Membership &at(std::size_t i) { return *m_nodes.at(i)->membership; }
    std::string id(std::size_t i) const { return m_nodes.at(i)->info.id; }

    /// Starts a new process at the same address, as when a VM is replaced.
    void start(std::size_t i, std::uint64_t incarnation)
    {
        Node &node = *m_nodes.at(i);
        node.info.incarnation = incarnation;
        node.budget = std::make_unique<Membership::ControlBudget>();
        node.codec = std::make_unique<Membership::PeerCodec>(Membership::PeerCodec::Options{
            .id = node.info.id, .incarnation = incarnation, .keys = {"0123456789abcdef"}});
        node.membership = std::make_unique<Membership::Membership>(
            Membership::Membership::Options{.self = node.info,
                                            .seeds = m_seeds,
                                            .listedPorts = {routerPort, controllerPort},
                                            .randomSeed = m_random(),
                                            .budget = node.budget.get()},
            m_now);
        node.isRunning = true;
        connect(i);
    }
    void stop(std::size_t i) { m_nodes.at(i)->isRunning = false; }
    void pause(std::size_t i, bool paused) { m_nodes.at(i)->isPaused = paused; }

    void setLossFraction(double fraction) { m_options.lossFraction = fraction; }
    /// Whether the network drops all datagrams between these nodes, given by index.
    std::function<bool(std::size_t from, std::size_t to)> isCut;
    void cutDataCentre(const std::string &dataCentre)
    {
        isCut = [this, dataCentre](std::size_t from, std::size_t to) {
            return (m_nodes[from]->info.dataCentre == dataCentre)
                != (m_nodes[to]->info.dataCentre == dataCentre);
        };
    }
    void heal() { isCut = nullptr; }

    void run(Base::Duration duration)
    {
        runUntil([] { return false; }, duration);
    }
    /// Runs until \a done returns true and returns the time that took; nullopt if it took more than
    /// \a maxDuration.
    std::optional<Base::Duration> runUntil(const std::function<bool()> &done,
                                           Base::Duration maxDuration)
    {
        const Base::MonoTime begin = m_now;
        while (m_now - begin < maxDuration) {
            if (done())
                return m_now - begin;
            m_now += m_options.step;
            deliver();
            for (const auto &node : m_nodes) {
                if (node->isRunning && !node->isPaused)
                    node->membership->advance(m_now);
            }
            if (eachStep)
                eachStep();
        }
        return done() ? std::optional(m_now - begin) : std::nullopt;
    }
    /// Called after each step of the clock.
    std::function<void()> eachStep;

    /// Whether every running member has as many usable members as are running, damped ones
    /// included.
    bool isConverged() const
    {
        std::size_t running = 0;
        for (const auto &node : m_nodes)
            running += node->isRunning ? 1 : 0;
        for (const auto &node : m_nodes) {
            if (!node->isRunning)
                continue;
            const auto usable = node->membership->usableMembers(m_now, true);
            if (usable.size() != running)
                return false;
        }
        return true;
    }
    /// Number of events of this kind, over all nodes.
    std::size_t countEvents(Membership::MemberEvent what) const
    {
        std::size_t count = 0;
        for (const auto &node : m_nodes) {
            for (const Event &event : node->events)
                count += event.what == what ? 1 : 0;
        }
        return count;
    }
    std::uint64_t sentBytes() const
    {
        std::uint64_t bytes = 0;
        for (const auto &node : m_nodes)
            bytes += node->budget->spentBytes();
        return bytes;
    }

    static constexpr std::uint64_t firstIncarnation = 1000;
    static constexpr std::uint16_t routerPort = 7000;
    static constexpr std::uint16_t controllerPort = 7001;

private:
    struct InFlightDatagram
    {
        Base::MonoTime due;
        std::uint64_t sequenceNumber = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
        friend bool operator>(const InFlightDatagram &a, const InFlightDatagram &b)
        {
            return a.due != b.due ? a.due > b.due : a.sequenceNumber > b.sequenceNumber;
        }
    };

    void addNode(std::size_t vm, Membership::MemberRole role)
    {
        const std::size_t dataCentre = vm % m_options.dataCentres;
        const bool isRouter = role == Membership::MemberRole::Router;
        auto node = std::make_unique<Node>();
        node->info = {.id = "vm-" + std::to_string(vm) + (isRouter ? "/router" : "/controller"),
                      .role = role,
                      .dataCentre = "centre-" + std::to_string(dataCentre),
                      .region = "region-" + std::to_string(dataCentre % m_options.regions),
                      .ip = static_cast<std::uint32_t>(0x0a000001 + vm),
                      .port = isRouter ? routerPort : controllerPort};
        m_byAddress[{node->info.ip, node->info.port}] = m_nodes.size();
        m_nodes.push_back(std::move(node));
    }

    void connect(std::size_t i)
    {
        Node &node = *m_nodes[i];
        node.membership->messageReady = [this, i](const Runtime::SocketAddress &to,
                                                  const Membership::PeerMessage &message) {
            const auto found = m_byAddress.find({Membership::ipNumber(to.ip), to.port});
            if (found != m_byAddress.end())
                transmit(i, found->second,
                         m_nodes[i]->codec->seal(Membership::encodeMessage(message).value()));
        };
        node.membership->memberChanged = [this, i](const Membership::Member &member,
                                                   Membership::MemberEvent what) {
            m_nodes[i]->events.push_back({m_now, member.info.id, what});
        };
        node.membership->incarnationRaised = [this, i](Base::Incarnation incarnation) {
            m_nodes[i]->codec->setIncarnation(incarnation.value());
        };
        node.membership->endpointLeaving = [this, i](const Base::EndpointId &endpoint,
                                                     Base::Incarnation) {
            m_nodes[i]->leavingSeen.insert(endpoint.value());
        };
        node.membership->statePullNeeded = [this, i](const Runtime::SocketAddress &peer,
                                                     const Membership::StateRequest &request) {
            m_pulls.push_back(
                {i, m_byAddress.at({Membership::ipNumber(peer.ip), peer.port}), request});
        };
    }

    void transmit(std::size_t from, std::size_t to, std::string datagram)
    {
        if (isCut && isCut(from, to))
            return;
        if (randomFraction() < m_options.lossFraction)
            return;
        if (randomFraction() < m_options.duplicateFraction)
            m_inFlight.push({m_now + delay(), ++m_lastSequenceNumber, from, to, datagram});
        m_inFlight.push({m_now + delay(), ++m_lastSequenceNumber, from, to, std::move(datagram)});
    }

    void deliver()
    {
        while (!m_inFlight.empty() && m_inFlight.top().due <= m_now) {
            const InFlightDatagram datagram = m_inFlight.top();
            m_inFlight.pop();
            receive(datagram);
        }
        auto pulls = std::move(m_pulls);
        m_pulls.clear();
        for (const Pull &pull : pulls)
            answer(pull);
    }

    void receive(const InFlightDatagram &datagram)
    {
        Node &node = *m_nodes[datagram.to];
        if (!node.isRunning || node.isPaused)
            return;
        std::optional<Membership::Sender> outdated;
        const auto opened = node.codec->open(datagram.bytes, &outdated);
        const Runtime::SocketAddress from =
            Membership::toSocketAddress(m_nodes[datagram.from]->info);
        if (outdated)
            node.membership->receiveOutdated(*outdated, from,
                                             node.codec->seenIncarnation(outdated->id), m_now);
        if (!opened)
            return;
        node.membership->receive(opened->sender, from,
                                 Membership::decodeMessage(opened->body).value(), m_now);
    }

    struct Pull
    {
        std::size_t requester;
        std::size_t peer;
        Membership::StateRequest request;
    };
    void answer(const Pull &pull)
    {
        Node &peer = *m_nodes[pull.peer];
        Node &requester = *m_nodes[pull.requester];
        const bool isUp = peer.isRunning && !peer.isPaused && requester.isRunning;
        if (!isUp
            || (isCut && (isCut(pull.requester, pull.peer) || isCut(pull.peer, pull.requester))))
            return;
        const Membership::StateAnswer answer = peer.membership->answer(pull.request, m_now);
        const std::string body = Membership::encodeStateAnswer(answer).value();
        ++requester.pulls;
        if (peer.budget->takePull(body.size(), m_now))
            requester.membership->mergeState(Membership::decodeStateAnswer(body).value(), m_now);
    }

    double randomFraction() { return static_cast<double>(m_random() >> 11) * 0x1p-53; }
    Base::Duration delay()
    {
        const auto span = (m_options.maxDelay - m_options.minDelay).count();
        return m_options.minDelay
            + Base::Duration(static_cast<std::int64_t>(m_random() % (span + 1)));
    }

    Options m_options;
    std::mt19937_64 m_random;
    Base::MonoTime m_now{std::chrono::hours(1)};
    std::uint64_t m_lastSequenceNumber = 0;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<Runtime::SocketAddress> m_seeds;
    std::map<std::pair<std::uint32_t, std::uint16_t>, std::size_t> m_byAddress;
    std::priority_queue<InFlightDatagram, std::vector<InFlightDatagram>, std::greater<>> m_inFlight;
    std::vector<Pull> m_pulls;
};

} // namespace Lagoonbank::Tests
