#pragma once

#include "base/units.h"
#include "runtime/timerqueue.h"
#include "runtime/udpsocket.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace Lagoonbank::Gateway {

/// What shows whether the process of an endpoint outlived the close of one of its connections.
enum class ProcessEvidence : std::uint8_t {
    OpenConnection, ///< The connections from before are still open.
    NewConnection, ///< It accepts connections, sooner than it could have restarted.
    NoConnection, ///< It has no other connection and accepts none.
    LateConnection ///< It accepts connections, but may have restarted meanwhile.
};
std::string_view toString(ProcessEvidence evidence);

struct ProcessState
{
    ProcessEvidence evidence = ProcessEvidence::NoConnection;
    Base::Duration age{}; ///< From the close of the connection to the evidence, at most.

    bool isRunning() const
    {
        return evidence == ProcessEvidence::OpenConnection
            || evidence == ProcessEvidence::NewConnection;
    }
};

/// Finds out whether the process of an endpoint goes on after it has closed a connection in order.
/// The system closes all connections of a process that has ended, and refuses new ones until
/// another process listens at its address.
///
/// An endpoint whose connections belong to several processes is not told from one that goes on.
class ProcessCheck
{
public:
    struct Options
    {
        Runtime::TimerQueue *timers = nullptr;
        /// Returns the number of connections to the server that were established before \a time
        /// and are still open.
        std::function<std::size_t(const Runtime::SocketAddress &server, Base::MonoTime time)>
            openConnections;
        /// Opens a connection, keeps it open for \a holdTime and closes it. Calls back once,
        /// asynchronously, with whether the server accepted it and kept it open.
        std::function<void(const Runtime::SocketAddress &server, Base::Duration timeout,
                           Base::Duration holdTime, std::function<void(bool isOpen)> checked)>
            connect;
        /// Returns how long ago the event that is handled now occurred, at most.
        std::function<Base::Duration()> eventAge;
        /// Time in which the system closes all connections of a process that has ended, as seen
        /// from this router. It takes some 20 us for each of them, but other processes may run in
        /// between.
        Base::Duration closeTime = std::chrono::milliseconds(4);
        /// Timeout of a new connection; a live endpoint of the region accepts within 5 ms, and one
        /// that is accepted after minRestartTime shows nothing.
        Base::Duration connectTimeout = std::chrono::milliseconds(40);
        /// An endpoint that has ended accepts no connection for at least this time.
        Base::Duration minRestartTime = std::chrono::milliseconds(50);
    };
    using Checked = std::function<void(const ProcessState &state)>;

    explicit ProcessCheck(Options options);
    ProcessCheck(const ProcessCheck &) = delete;
    ProcessCheck &operator=(const ProcessCheck &) = delete;

    /// Checks the process at \a server, which was running at \a aliveAt. It closed a connection in
    /// order, or seemed to have ended, \a closedFor ago. Calls \a checked once, after this function
    /// has returned, unless this object is destroyed first.
    void check(const Runtime::SocketAddress &server, Base::MonoTime aliveAt, Checked checked,
               Base::Duration closedFor = {});

private:
    /// One check, from the close of the connection.
    struct Check
    {
        Runtime::SocketAddress server;
        Base::MonoTime aliveAt;
        Base::MonoTime closedAt; ///< At the earliest.
        std::size_t openConnections = 0; ///< At the start of the check.
        Checked checked;
    };
    using CheckPtr = std::shared_ptr<const Check>;

    void lookAgain(const CheckPtr &check);
    void connect(const CheckPtr &check);
    void connectAgain(const CheckPtr &check);
    ProcessEvidence evidenceOfNewConnection(const Check &check) const;
    void finish(const Check &check, ProcessEvidence evidence) const;

    Options m_options;
    /// Lets callbacks detect that this object was destroyed.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Lagoonbank::Gateway
