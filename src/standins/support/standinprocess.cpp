#include "standins/support/standinprocess.h"

#include <csignal>
#include <iostream>
#include <memory>

namespace Lagoonbank::Standins {

namespace {

constexpr int exitRunTime = 1;
constexpr int exitUsage = 2;
constexpr std::size_t maxBodyBytes = 64 * 1024 * 1024;
constexpr Base::Duration idleCheckInterval = std::chrono::milliseconds(20);
constexpr Base::Duration connectionCloseTimeout = std::chrono::seconds(1);

/// Stops the loop once no request is in flight and the connections have closed or timed out.
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
        m_process.startDraining();
        waitForRequests();
    }

private:
    void waitForRequests()
    {
        if (!m_process.isIdle()) {
            m_process.loop->timers().start(idleCheckInterval, [this] { waitForRequests(); });
            return;
        }
        m_server.stopAccepting();
        m_deadline = m_process.loop->clock().now() + connectionCloseTimeout;
        waitForConnections();
    }

    void waitForConnections()
    {
        const bool hasTimedOut = m_process.loop->clock().now() >= m_deadline;
        if (m_server.openConnections() == 0 || hasTimedOut) {
            m_process.loop->stop();
            return;
        }
        m_process.loop->timers().start(idleCheckInterval, [this] { waitForConnections(); });
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
        return reportUsageError(process.program, "--listen: " + address.error().detail);
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

int reportUsageError(std::string_view program, std::string_view message)
{
    std::cerr << program << ": " << message << ".\n";
    return exitUsage;
}

} // namespace Lagoonbank::Standins
