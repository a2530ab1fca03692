#pragma once

#include "fleetsync/fleetsync.h"
#include "keyedlog/keyedsource.h"
#include "platformclient/backoff.h"

#include <string>

namespace Lagoonbank::FleetSync {

/// How routers find each other: each writes its address into a keyed log when it starts, then reads
/// the others' and tells them. Whoever starts later is told of by its own beacons, so that the log
/// is read once.
class RouterRegistry
{
public:
    struct Options
    {
        KeyedLog::KeyedSource source;
        KeyedLog::KeyedWrite write;
        Runtime::TimerQueue *timers = nullptr;
        FleetSync *sync = nullptr;
        std::string id;
        std::string dataCentre;
        Runtime::SocketAddress address;
        std::uint32_t strength = 0; ///< See FleetBeacon.
        PlatformClient::Backoff::Options backoff; ///< Between tries.
    };

    explicit RouterRegistry(Options options);
    ~RouterRegistry();
    RouterRegistry(const RouterRegistry &) = delete;
    RouterRegistry &operator=(const RouterRegistry &) = delete;

    void start();
    /// Whether this router is in the log and has read the others.
    bool isDone() const { return m_isDone; }

private:
    void write();
    void read(const std::string &after);
    void pageRead(const Errors::Result<KeyedLog::NewestPage> &page);
    void addRecord(const KeyedLog::KeyedRecord &record);
    void finish();
    void retry(void (RouterRegistry::*step)());
    void readAll() { read({}); }

    Options m_options;
    PlatformClient::Backoff m_backoff;
    bool m_isDone = false;
    Runtime::TimerId m_timer;
    /// Answers that come after this object is gone find it out by this.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

/// What stands in the log of a router.
struct RegisteredRouter
{
    std::string dataCentre;
    Runtime::SocketAddress address;
    std::uint32_t strength = 0;
};
std::string formatRegistryEntry(const RegisteredRouter &router);
/// An entry without a strength is of a router that is weaker than any other one; an error if it
/// cannot be read.
Errors::Result<RegisteredRouter> parseRegistryEntry(std::string_view text);

} // namespace Lagoonbank::FleetSync
