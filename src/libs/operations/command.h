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

/// What commands work with.
struct Context
{
    Runtime::TimerQueue *timers = nullptr;
    PlatformClient::LogClient *log = nullptr;
    PlatformClient::Transport platform;
    PlatformClient::Transport admin; ///< Goes to the server that the call names.
    std::vector<Runtime::SocketAddress> admins; ///< Of routers and controllers.
    std::string operatorName;
    std::string invocation; ///< Unique for each run of the program; part of record ids.
    Base::Duration timeout = std::chrono::seconds(5); ///< For one answer, its retries included.
    /// Takes whole lines while a command goes on.
    std::function<void(const std::string &text)> print;
};

/// Decides whether a step that failed is tried again: for as long as the context's timeout, and
/// once more in any case, since the first try may have met a dead connection.
class RetryPolicy
{
public:
    explicit RetryPolicy(const Context &context)
        : m_context(context)
    { }

    /// A step begins or has got on.
    void restart();
    /// The delay before the next try, or nothing if it is time to give up.
    std::optional<Base::Duration> nextDelay();

private:
    const Context &m_context;
    PlatformClient::Backoff m_backoff{PlatformClient::Backoff::Options()};
    Base::MonoTime m_deadline;
    bool m_hasRetried = false;
};

/// One command that runs until it has its report.
class Command
{
public:
    using Finished = std::function<void(Report report)>;

    virtual ~Command() = default;

    /// `finished` is called once; the command must live on until it has returned.
    virtual void start(Finished finished) = 0;
    /// What is known if the command is not waited for any longer.
    virtual Report interruptedReport() const
    {
        return failure(ExitStatus::Failed,
                       "No answer in time. Check the addresses and ask again, or raise --timeout.");
    }
};

} // namespace Lagoonbank::Operations
