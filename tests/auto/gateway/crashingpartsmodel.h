#pragma once

#include "gateway/partquarantine.h"
#include "runtime/clock.h"
#include "runtime/timerqueue.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace Lagoonbank::Test {

/// A fleet of routers in front of endpoints, of which some crash: under prompt parts, or without a
/// cause. Requests, endpoints and messages between routers are modelled; the decisions are those of
/// PartQuarantine.
class CrashingPartsModel
{
public:
    struct Options
    {
        std::size_t routers = 6;
        std::size_t endpoints = 18;
        double requestsPerSecond = 135;
        std::size_t firstParts = 51; ///< Number of parts with which prompts begin.
        std::size_t secondParts = 271; ///< Each follows always the same first part.
        std::size_t badParts = 1; ///< Parts that crash endpoints, in third place.
        double badPerSecond = 2; ///< Requests with each of them.
        double causelessCrashesPerSecond = 0;
        /// Every 2 s, one router loses its connections to two thirds of the endpoints.
        bool hasCuts = false;
        /// Time between two restarts of a router; zero for none.
        Base::Duration restartInterval{};
        Base::Duration length = std::chrono::seconds(60);
        double meanStartMs = 300; ///< Time of a request at an endpoint before its answer begins.
        /// Number of routers to which crashes are reported beside the one that noticed them.
        std::size_t countingRouters = 8;
        bool asksPeers = true;
        Gateway::PartEvidence::Options evidence;
        std::uint64_t seed = 1;
    };

    struct Result
    {
        std::size_t blamedBad = 0; ///< Bad parts that were quarantined.
        /// Sound parts that were quarantined, and how many requests were refused for it.
        std::size_t blamedSound = 0;
        std::size_t refusedSound = 0;
        std::size_t sound = 0; ///< Number of sound requests.
        std::size_t crashes = 0; ///< Crashes that bad parts have caused.
        /// Largest number of requests with one bad part that routers in contact sent later than
        /// stableTime after its fifth crash.
        std::size_t furtherSends = 0;
    };

    static constexpr Base::Duration stableTime = std::chrono::seconds(3);

    explicit CrashingPartsModel(Options options)
        : m_options(options)
        , m_random(options.seed)
        , m_endpoints(options.endpoints)
        , m_badParts(options.badParts)
    {
        for (std::size_t i = 0; i < options.routers; ++i)
            startRouter(i);
    }

    Result run()
    {
        every(1 / m_options.requestsPerSecond, [this] { sendSound(); });
        for (std::size_t bad = 0; bad < m_options.badParts; ++bad)
            every(1 / m_options.badPerSecond, [this, bad] { sendBad(bad); });
        if (m_options.causelessCrashesPerSecond > 0)
            every(1 / m_options.causelessCrashesPerSecond,
                  [this] { crash(randomIndex(m_endpoints.size())); });
        if (m_options.hasCuts)
            every(2, [this] { cutRouter(randomIndex(m_routers.size())); });
        if (m_options.restartInterval > Base::Duration::zero())
            every(Base::toSeconds(m_options.restartInterval),
                  [this] { startRouter(randomIndex(m_routers.size())); });
        for (std::size_t i = 0; i < m_options.routers; ++i)
            after(resendInterval * static_cast<int>(i) / static_cast<int>(m_options.routers),
                  [this, i] { resendQuarantines(i); });
        const Base::MonoTime end = m_clock.now() + m_options.length;
        while (m_clock.now() < end) {
            m_clock.advance(std::chrono::milliseconds(1));
            m_timers.runDue();
        }
        finishCounts();
        return m_result;
    }

private:
    struct Request
    {
        std::uint64_t id = 0;
        std::vector<Gateway::PartHash> parts;
        std::optional<std::size_t> bad; ///< Index of its bad part.
        std::size_t router = 0;
        int endpoints = 0; ///< Endpoints of this attempt so far.
        bool isRepeat = false;
    };
    struct Endpoint
    {
        std::uint64_t start = 1; ///< Identifies the process; rises at each restart.
        bool isUp = true;
        std::map<std::uint64_t, Request> waiting;
    };
    struct Router
    {
        std::unique_ptr<Gateway::PartQuarantine> quarantine;
        Base::MonoTime startedAt;
    };
    struct BadPart
    {
        std::size_t crashes = 0;
        std::optional<Base::MonoTime> fifthCrashAt;
        std::size_t furtherSends = 0;
    };

    static constexpr double lossRate = 0.02; ///< Part of the messages between routers.
    static constexpr Base::Duration resendInterval = std::chrono::seconds(1);
    static constexpr std::uint64_t firstBadPart = 1'000'000;

    std::size_t randomIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }
    Base::Duration randomDelay(double meanSeconds)
    {
        const double delay = std::exponential_distribution<double>(1 / meanSeconds)(m_random);
        return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(delay));
    }
    void after(Base::Duration delay, std::function<void()> action)
    {
        m_timers.start(delay, std::move(action));
    }
    /// Repeats an action at random times.
    void every(double meanSeconds, const std::function<void()> &action)
    {
        after(randomDelay(meanSeconds), [this, meanSeconds, action] {
            action();
            every(meanSeconds, action);
        });
    }
    /// Delivers a message to a router if it is not lost and the router still runs.
    void deliver(std::size_t to, std::function<void(Gateway::PartQuarantine &)> message)
    {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < lossRate)
            return;
        after(std::chrono::milliseconds(2),
              [this, to, message = std::move(message)] { message(*m_routers[to].quarantine); });
    }
    void toPeers(std::size_t from, const std::function<void(Gateway::PartQuarantine &)> &message)
    {
        for (std::size_t to = 0; to < m_routers.size(); ++to) {
            if (to != from)
                deliver(to, message);
        }
    }

    void startRouter(std::size_t index)
    {
        m_routers.resize(std::max(m_routers.size(), index + 1));
        auto quarantine = std::make_unique<Gateway::PartQuarantine>(
            Gateway::PartQuarantine::Options{.timers = &m_timers, .evidence = m_options.evidence});
        if (m_options.asksPeers)
            quarantine->ask = [this, index](const auto &questions) {
                ask(index, questions);
                return true;
            };
        quarantine->decided = [this, index](const auto &quarantined, const auto &) {
            blamed(quarantined.part);
            toPeers(index, [quarantined](auto &peer) { peer.quarantineReceived(quarantined); });
        };
        quarantine->released = [this, index](Gateway::PartHash part) {
            toPeers(index, [part](auto &peer) { peer.beginReceived({.part = part}); });
        };
        m_routers[index] = {.quarantine = std::move(quarantine), .startedAt = m_clock.now()};
    }
    void ask(std::size_t from, const std::vector<Gateway::PartQuestion> &questions)
    {
        for (std::size_t to = 0; to < m_routers.size(); ++to) {
            if (to == from)
                continue;
            deliver(to, [this, from, questions](Gateway::PartQuarantine &peer) {
                for (const Gateway::PartQuestion &question : questions) {
                    if (const auto begin = peer.answer(question))
                        deliver(from, [begin](auto &asker) { asker.beginReceived(*begin); });
                }
            });
        }
    }
    void resendQuarantines(std::size_t from)
    {
        after(resendInterval, [this, from] { resendQuarantines(from); });
        for (const auto &one : m_routers[from].quarantine->quarantined()) {
            for (int copy = 0; copy < 2; ++copy)
                deliver(randomIndex(m_routers.size()),
                        [one](auto &peer) { peer.quarantineReceived(one); });
        }
    }

    void sendSound()
    {
        const std::size_t second = randomIndex(m_options.secondParts);
        ++m_result.sound;
        arrive({.id = ++m_lastRequest, .parts = firstTwo(second)});
    }
    void sendBad(std::size_t bad)
    {
        std::vector<Gateway::PartHash> parts = firstTwo(bad);
        parts.emplace_back(firstBadPart + bad);
        arrive({.id = ++m_lastRequest, .parts = std::move(parts), .bad = bad});
    }
    std::vector<Gateway::PartHash> firstTwo(std::size_t second) const
    {
        return {Gateway::PartHash(second % m_options.firstParts + 1),
                Gateway::PartHash(1000 + second)};
    }
    void arrive(Request request)
    {
        request.router = randomIndex(m_routers.size());
        request.endpoints = 0;
        send(request);
    }
    void send(Request request)
    {
        Gateway::PartQuarantine &quarantine = *m_routers[request.router].quarantine;
        const bool isRefused =
            std::any_of(request.parts.begin(), request.parts.end(),
                        [&](Gateway::PartHash part) { return quarantine.timeLeft(part); });
        if (isRefused) {
            m_result.refusedSound += request.bad ? 0 : 1;
            return;
        }
        const std::size_t target = randomIndex(m_endpoints.size());
        Endpoint &endpoint = m_endpoints[target];
        if (!endpoint.isUp)
            return; // Failed; the router would choose another one.
        ++request.endpoints;
        if (request.bad)
            countSend(*request.bad, request.router);
        const std::uint64_t id = request.id;
        endpoint.waiting[id] = std::move(request);
        after(randomDelay(m_options.meanStartMs / 1000),
              [this, target, id, start = endpoint.start] { begin(target, id, start); });
    }
    void begin(std::size_t target, std::uint64_t id, std::uint64_t start)
    {
        Endpoint &endpoint = m_endpoints[target];
        const auto found = endpoint.waiting.find(id);
        if (endpoint.start != start || found == endpoint.waiting.end())
            return;
        const Request request = found->second;
        if (request.bad) {
            countCrash(*request.bad);
            crash(target);
            return;
        }
        endpoint.waiting.erase(found);
        m_routers[request.router].quarantine->begun(request.parts);
    }
    void crash(std::size_t target)
    {
        Endpoint &endpoint = m_endpoints[target];
        if (!endpoint.isUp)
            return;
        endpoint.isUp = false;
        const std::uint64_t start = endpoint.start;
        const auto broken = std::exchange(endpoint.waiting, {});
        for (const auto &[id, request] : broken)
            broke(target, start, request);
        after(std::chrono::milliseconds(4500), [this, target] {
            m_endpoints[target].isUp = true;
            ++m_endpoints[target].start;
        });
    }
    /// One router loses its connections to most endpoints, which go on.
    void cutRouter(std::size_t router)
    {
        for (std::size_t target = 0; target < m_endpoints.size() * 2 / 3; ++target) {
            Endpoint &endpoint = m_endpoints[target];
            for (auto one = endpoint.waiting.begin(); one != endpoint.waiting.end();) {
                if (one->second.router != router) {
                    ++one;
                    continue;
                }
                broke(target, endpoint.start, one->second);
                one = endpoint.waiting.erase(one);
            }
        }
    }
    /// Reports the crash to the counting routers and sends the request again.
    void broke(std::size_t target, std::uint64_t start, Request request)
    {
        after(std::chrono::milliseconds(110), [this, target, start, request, at = m_clock.now()] {
            report(request, std::uint64_t{target} << 32U | start, at);
        });
        if (request.endpoints < 2) {
            send(request);
        } else if (!request.isRepeat) {
            request.isRepeat = true;
            after(std::chrono::milliseconds(200), [this, request] { arrive(request); });
        }
    }
    void report(const Request &request, std::uint64_t endpoint, Base::MonoTime at)
    {
        std::set<std::size_t> receivers{request.router};
        for (std::size_t i = 0; i < std::min(m_options.countingRouters, m_routers.size()); ++i)
            receivers.insert(i);
        for (const std::size_t receiver : receivers) {
            if (receiver != request.router && m_options.countingRouters == 0)
                continue;
            const auto record = [request, endpoint, at](Gateway::PartQuarantine &quarantine) {
                std::vector<Gateway::PartCrash> crashes;
                for (std::size_t depth = 0; depth < request.parts.size(); ++depth)
                    crashes.push_back({.part = request.parts[depth],
                                       .depth = static_cast<int>(depth),
                                       .request = Gateway::RequestFingerprint(request.id),
                                       .endpoint = endpoint,
                                       .at = at});
                quarantine.crashed(crashes);
            };
            if (receiver == request.router)
                record(*m_routers[receiver].quarantine);
            else
                deliver(receiver, record);
        }
    }

    void countSend(std::size_t bad, std::size_t router)
    {
        BadPart &part = m_badParts[bad];
        const Base::MonoTime now = m_clock.now();
        const bool isInContact = now - m_routers[router].startedAt >= stableTime
            || m_routers[router].startedAt == Base::MonoTime();
        if (part.fifthCrashAt && now - *part.fifthCrashAt > stableTime && isInContact)
            ++part.furtherSends;
    }
    void countCrash(std::size_t bad)
    {
        ++m_result.crashes;
        BadPart &part = m_badParts[bad];
        if (++part.crashes == 5)
            part.fifthCrashAt = m_clock.now();
    }
    void blamed(Gateway::PartHash part) { m_blamed.insert(part.value()); }
    void finishCounts()
    {
        for (const std::uint64_t part : m_blamed)
            ++(part >= firstBadPart ? m_result.blamedBad : m_result.blamedSound);
        for (const BadPart &bad : m_badParts)
            m_result.furtherSends = std::max(m_result.furtherSends, bad.furtherSends);
    }

    Options m_options;
    std::mt19937_64 m_random;
    Runtime::ManualClock m_clock;
    Runtime::TimerQueue m_timers{m_clock};
    std::vector<Router> m_routers;
    std::vector<Endpoint> m_endpoints;
    std::vector<BadPart> m_badParts;
    std::set<std::uint64_t> m_blamed;
    std::uint64_t m_lastRequest = 0;
    Result m_result;
};

} // namespace Lagoonbank::Test
