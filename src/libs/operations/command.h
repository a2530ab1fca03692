#pragma once

#include "base/units.h"
#include "operations/report.h"
#include "platformclient/logclient.h"
#include "platformclient/transport.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// The commands of operators and support engineers.
namespace Lagoonbank::Operations {

/// Clients and options that commands use.
struct Context
{
    Runtime::TimerQueue *timers = nullptr;
    PlatformClient::LogClient *log = nullptr;
    PlatformClient::Transport platform;
    PlatformClient::Transport admin; ///< Sends each call to the server named in it.
    std::vector<Runtime::SocketAddress> admins; ///< Admin addresses of routers and controllers.
    std::string operatorName;
    std::string invocation; ///< Unique id of each run of the program; part of record ids.
    Base::Duration timeout = std::chrono::seconds(5); ///< For one answer, including retries.
    /// Prints complete lines while a command is running.
    std::function<void(const std::string &text)> print;
};

/// Decides whether a failed step is retried: until the context's timeout has passed, but at least
/// once, as the first attempt may have used a dead connection.
class RetryPolicy
{
public:
    explicit RetryPolicy(const Context &context)
        : m_context(context)
    { }

    /// Must be called when a step begins or has made progress.
    void restart();
    /// Returns the delay before the next retry, or nothing if the step has failed.
    std::optional<Base::Duration> nextDelay();

private:
    const Context &m_context;
    PlatformClient::Backoff m_backoff{PlatformClient::Backoff::Options()};
    Base::MonoTime m_deadline;
    bool m_hasRetried = false;
};

/// A command that runs until it has its report.
class Command
{
public:
    using Finished = std::function<void(Report report)>;

    virtual ~Command() = default;

    /// Calls `finished` once. The command must outlive that call.
    virtual void start(Finished finished) = 0;
    /// Returns the report of a command that timed out or was interrupted.
    virtual Report interruptedReport() const
    {
        return failure(ExitStatus::Failed,
                       "No answer in time. Check the addresses and run the command again, or raise "
                       "--timeout.");
    }
};

} // namespace Lagoonbank::Operations
