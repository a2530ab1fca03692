#include "standins/support/standinprocess.h"

#include <csignal>
#include <iostream>
#include <memory>

namespace Lagoonbank::Standins {

namespace {

constexpr int exitRunTime = 1;
constexpr int exitUsage = 2;
constexpr std::size_t maxBodyBytes = 64 * 1024 * 1024;
constexpr Base::Duration idleCheck = std::chrono::milliseconds(20);
constexpr Base::Duration connectionGrace = std::chrono::seconds(1);

/// Ends the loop once nothing is in flight and the connections have closed.
class Shutdown
{
public:
    Shutdown(const StandinProcess &process, Http::Server &server)
        : m_process(process)
        , m_server(server)
    { }

    void begin()
    {
        if (m_begun)
            return;
        m_begun = true;
        m_process.draining();
        waitForWork();
    }

private:
    void waitForWork()
    {
        if (!m_process.isIdle()) {
            m_process.loop->timers().start(idleCheck, [this] { waitForWork(); });
            return;
        }
        m_server.stopAccepting();
        m_deadline = m_process.loop->clock().now() + connectionGrace;
        waitForConnections();
    }

    void waitForConnections()
    {
        const bool late = m_process.loop->clock().now() >= m_deadline;
        if (m_server.openConnections() == 0 || late) {
            m_process.loop->stop();
            return;
        }
        m_process.loop->timers().start(idleCheck, [this] { waitForConnections(); });
    }

    const StandinProcess &m_process;
    Http::Server &m_server;
    bool m_begun = false;
    Base::MonoTime m_deadline;
};

} // namespace

int runStandin(const StandinProcess &process)
{
    const auto address = Runtime::parseSocketAddress(process.listen);
    if (!address)
        return usageError(process.program, "--listen: " + address.error().detail);
    Http::Server server(
        {.loop = process.loop, .address = address.value(), .limits = {.bodyBytes = maxBodyBytes}});
    server.setHandler(process.handler);
    if (const auto listening = server.listen(); !listening) {
        std::cerr << process.program << ": " << listening.error() << ".\n";
        return exitRunTime;
    }
    Shutdown shutdown(process, server);
    process.loop->onSignal(SIGTERM, [&shutdown] { shutdown.begin(); });
    process.loop->onSignal(SIGINT, [&shutdown] { shutdown.begin(); });
    std::cout << process.program << ": Listening on " << Runtime::toString(server.address()) << "."
              << std::endl;
    process.loop->run();
    return 0;
}

int usageError(std::string_view program, std::string_view what)
{
    std::cerr << program << ": " << what << ".\n";
    return exitUsage;
}

} // namespace Lagoonbank::Standins
