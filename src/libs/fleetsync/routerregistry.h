#pragma once

#include "fleetsync/fleetsync.h"
#include "keyedlog/keyedsource.h"
#include "platformclient/backoff.h"

#include <functional>
#include <string>
#include <string_view>

namespace Lagoonbank::FleetSync {

/// Discovery of routers: each router writes its address into a keyed log when it starts, then reads
/// the addresses of the others and adds them to the FleetSync. Routers that start later announce
/// themselves by beacons, so that the log is read only once.
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
        std::uint32_t strength = 0; ///< Link speed of this router's VM in Mbit/s.
        PlatformClient::Backoff::Options backoff; ///< Delay between two attempts.
    };

    explicit RouterRegistry(Options options);
    ~RouterRegistry();
    RouterRegistry(const RouterRegistry &) = delete;
    RouterRegistry &operator=(const RouterRegistry &) = delete;

    /// Called when the entries of the other routers have been read.
    std::function<void()> done;
    /// Called for each record that cannot be read.
    KeyedLog::UnreadableRecord unreadable;

    void start();
    /// Writes and reads the entries again after a short random delay. To be called when the log has
    /// been restored from an older copy, which lacks the entries of routers that started later.
    void writeAgain();
    /// Whether this router has been written to the log and has read the entries of the others.
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
    /// Lets callbacks detect that this object has been destroyed or writes again.
    std::shared_ptr<bool> m_isCurrent = std::make_shared<bool>(true);
};

/// Entry of one router in the log.
struct RegisteredRouter
{
    std::string dataCentre;
    Runtime::SocketAddress address;
    std::uint32_t strength = 0;
};
std::string formatRegistryEntry(const RegisteredRouter &router);
/// Returns an error if the entry is malformed. An entry without a strength gets strength 0, which
/// ranks below every other one.
Errors::Result<RegisteredRouter> parseRegistryEntry(std::string_view text);

} // namespace Lagoonbank::FleetSync
