#pragma once

#include "fleetsync/fleetsync.h"
#include "runtime/clock.h"
#include "schema/messagecodec.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Simulated routers that share a store, on one manual clock, with a network that the test can cut.
class SyncFleet
{
public:
    using Endpoint = Lagoonbank::Fleet::Endpoint;
    using Sync = Lagoonbank::FleetSync::FleetSync;

    struct Router
    {
        std::string id;
        std::string dataCentre;
        std::string ip;
        bool isUp = true;
        bool reachesStore = true;
        bool isStoreUp = true; ///< Result of its last read.
        bool isReading = true;
        bool isReadDue = false; ///< Reads the store at the next step.
        int reads = 0; ///< Reads of the store.
        std::uint64_t sentBytes = 0; ///< Size of its beacons with UDP and IP headers.
        std::uint64_t receivedBytes = 0;
        std::uint64_t configuration = 0;
        std::unique_ptr<Lagoonbank::Fleet::EndpointDirectory> directory;
        std::shared_ptr<Sync> sync;
    };

    /// \a sizes contains the number of routers of each data centre.
    explicit SyncFleet(const std::vector<int> &sizes)
    {
        for (std::size_t dc = 0; dc < sizes.size(); ++dc) {
            for (int i = 0; i < sizes[dc]; ++i)
                add("dc" + std::to_string(dc), static_cast<int>(routers.size()));
        }
    }

    Router &add(const std::string &dataCentre, int number)
    {
        auto router = std::make_unique<Router>();
        // Ids are as long as in production, because the size of beacons is checked.
        router->id = "edge-data-centre-r" + std::to_string(number);
        router->dataCentre = dataCentre;
        router->ip = "10.0.0." + std::to_string(number);
        m_byIp[router->ip] = router.get();
        routers.push_back(std::move(router));
        start(*routers.back());
        return *routers.back();
    }
    void start(Router &router)
    {
        using namespace Lagoonbank;
        router.isUp = true;
        router.isReading = true;
        router.isReadDue = true;
        router.configuration = 0;
        router.sync.reset();
        router.directory = std::make_unique<Fleet::EndpointDirectory>(
            Fleet::EndpointDirectory::Options{.timers = &timers});
        router.sync = std::make_shared<Sync>(Sync::Options{.id = router.id,
                                                           .dataCentre = router.dataCentre,
                                                           .port = 7000,
                                                           .directory = router.directory.get(),
                                                           .timers = &timers,
                                                           .randomSeed = routers.size()});
        connect(router);
        for (const auto &other : routers)
            router.sync->addRouter(other->id, other->dataCentre, {other->ip, 7000}, 0);
        router.sync->start();
        router.sync->allRoutersAdded();
    }
    void kill(Router &router)
    {
        router.isUp = false;
        router.sync.reset();
    }

    /// Writes to the store.
    void put(const Endpoint &endpoint) { m_store[endpoint.id] = {endpoint, ++m_offset}; }
    void drop(const std::string &id) { m_store.erase(Lagoonbank::Base::EndpointId(id)); }
    /// Makes these data centres the drained ones, as operators do.
    void drain(std::set<Lagoonbank::Base::DataCentreId> dataCentres)
    {
        m_drained = std::move(dataCentres);
        ++m_operatorOffset;
    }

    void pass(Lagoonbank::Base::Duration duration)
    {
        constexpr Lagoonbank::Base::Duration step = std::chrono::milliseconds(10);
        for (auto left = duration; left > left.zero(); left -= step) {
            clock.advance(step);
            timers.runDue();
            deliver();
            readStore();
        }
    }
    int leaders(const std::string &dataCentre) const
    {
        return count([&](const Router &router) {
            return router.dataCentre == dataCentre && router.sync->isLeader();
        });
    }
    int readers() const
    {
        return count([](const Router &router) { return router.isReading; });
    }
    int count(const std::function<bool(const Router &)> &is) const
    {
        int count = 0;
        for (const auto &router : routers)
            count += router->isUp && is(*router) ? 1 : 0;
        return count;
    }
    bool allRouters(const std::function<bool(const Router &)> &is) const
    {
        for (const auto &router : routers) {
            if (router->isUp && !is(*router))
                return false;
        }
        return true;
    }

    Lagoonbank::Runtime::ManualClock clock;
    Lagoonbank::Runtime::TimerQueue timers{clock};
    /// Whether a message is delivered.
    std::function<bool(const Router &from, const Router &to)> passes =
        [](const Router &, const Router &) { return true; };
    std::vector<std::unique_ptr<Router>> routers;
    std::uint64_t revision = 0; ///< Revision of the configuration in the store; 0 for none.
    std::uint64_t bytes = 0; ///< Size of beacons sent by all routers.
    std::uint64_t messages = 0; ///< Beacons sent by all routers.
    std::uint64_t pulledEndpoints = 0; ///< Entries in answers to pulls.

private:
    void connect(Router &router)
    {
        using namespace Lagoonbank;
        router.directory->changed = [&router](const auto &entry) {
            if (router.sync)
                router.sync->endpointChanged(entry, false);
        };
        router.directory->removed = [&router](const auto &entry) {
            if (router.sync)
                router.sync->endpointChanged(entry, true);
        };
        router.sync->roleChanged = [&router](bool reads) {
            router.isReading = reads;
            router.isReadDue = reads;
        };
        router.sync->configurationPulled = [&router](const FleetSync::StoredConfiguration &pulled) {
            takeConfiguration(router, std::stoull(pulled.packed));
        };
        router.sync->send = [this, &router](const auto &to, const Schema::FleetBeacon &beacon) {
            constexpr std::uint64_t headers = 28;
            ++messages;
            const std::uint64_t size = headers + Schema::encodeMessage(beacon).value().size();
            bytes += size;
            router.sentBytes += size;
            deliverLater(router, to.ip, [&router, beacon, size](Router &target) {
                target.receivedBytes += size;
                target.sync->receive(router.ip, beacon);
            });
        };
        router.sync->pull = [this, &router](const auto &peer,
                                            const Schema::FleetStateRequest &request) {
            // Timeout for a peer that does not answer.
            constexpr Base::Duration timeout = std::chrono::milliseconds(400);
            const auto isAnswered = std::make_shared<bool>(false);
            timers.start(timeout, [&router, isAnswered, weak = std::weak_ptr<Sync>(router.sync)] {
                if (!weak.expired() && !*isAnswered)
                    router.sync->pullFailed();
            });
            deliverLater(router, peer.ip, [this, &router, request, isAnswered](Router &target) {
                const Schema::FleetStateAnswer state = target.sync->answer(request);
                pulledEndpoints += state.endpoints.size();
                deliverLater(target, router.ip, [state, isAnswered](Router &puller) {
                    *isAnswered = true;
                    puller.sync->pullSucceeded(state);
                });
            });
        };
    }
    void deliverLater(const Router &from, const std::string &ip,
                      std::function<void(Router &)> arrive)
    {
        const auto found = m_byIp.find(ip);
        if (found != m_byIp.end() && found->second->isUp && passes(from, *found->second))
            m_messages.emplace_back(found->second, std::move(arrive));
    }
    void deliver()
    {
        for (const auto &[router, arrive] : std::exchange(m_messages, {})) {
            if (router->isUp)
                arrive(*router);
        }
    }
    /// Each store reader reads every 500 ms and when it starts to read.
    void readStore()
    {
        using namespace Lagoonbank;
        const bool isReadStep = ++m_steps % 50 == 0;
        for (const auto &router : routers) {
            const bool isDue = std::exchange(router->isReadDue, false) || isReadStep;
            if (!router->isUp || !router->isReading || !isDue)
                continue;
            ++router->reads;
            if (!router->reachesStore) {
                router->sync->storeFailed();
                router->isStoreUp = false;
                continue;
            }
            if (!std::exchange(router->isStoreUp, true))
                router->sync->storeReturned();
            absl::flat_hash_set<Base::EndpointId> present;
            for (const auto &[id, entry] : m_store) {
                present.insert(id);
                router->directory->put({entry.first, Base::LogOffset(entry.second)});
            }
            router->directory->reconcile(present, Base::LogOffset(++m_offset));
            router->sync->setStoreEra(Base::LogEra(1));
            router->sync->storeRead();
            if (m_operatorOffset > 0)
                router->sync->drains().replace(m_drained, Base::LogOffset(m_operatorOffset));
            if (revision > 0)
                takeConfiguration(*router, revision);
        }
    }
    static void takeConfiguration(Router &router, std::uint64_t revision)
    {
        if (revision <= router.configuration)
            return;
        router.configuration = revision;
        router.sync->setConfiguration(
            {.revision = Lagoonbank::Base::Revision(revision), .packed = std::to_string(revision)});
    }

    std::map<Lagoonbank::Base::EndpointId, std::pair<Endpoint, std::uint64_t>> m_store;
    std::set<Lagoonbank::Base::DataCentreId> m_drained;
    std::uint64_t m_operatorOffset = 0; ///< Offset of the last record of the operators.
    std::map<std::string, Router *> m_byIp;
    std::uint64_t m_offset = 0;
    std::uint64_t m_steps = 0;
    std::vector<std::pair<Router *, std::function<void(Router &)>>> m_messages;
};
