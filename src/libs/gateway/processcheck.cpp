#include "gateway/processcheck.h"

#include <utility>

namespace Lagoonbank::Gateway {

std::string_view toString(ProcessEvidence evidence)
{
    switch (evidence) {
    case ProcessEvidence::OpenConnection:
        return "open_connection";
    case ProcessEvidence::NewConnection:
        return "new_connection";
    case ProcessEvidence::LateConnection:
        return "late_connection";
    case ProcessEvidence::NoConnection:
        break;
    }
    return "no_connection";
}

ProcessCheck::ProcessCheck(Options options)
    : m_options(std::move(options))
{ }

void ProcessCheck::check(const Runtime::SocketAddress &server, Base::MonoTime aliveAt,
                         Checked checked, Base::Duration closedFor)
{
    const Base::Duration age = m_options.eventAge ? m_options.eventAge() : Base::Duration::zero();
    const auto check = std::make_shared<const Check>(
        Check{.server = server,
              .aliveAt = aliveAt,
              .closedAt = m_options.timers->clock().now() - age - closedFor,
              .openConnections = m_options.openConnections(server, aliveAt),
              .checked = std::move(checked)});
    if (check->openConnections == 0) {
        connect(check);
        return;
    }
    // The closes of the other connections may not have arrived yet.
    m_options.timers->start(m_options.closeTime,
                            [this, check, isAlive = std::weak_ptr<bool>(m_isAlive)] {
                                if (!isAlive.expired())
                                    lookAgain(check);
                            });
}

/// If only some of the connections are still open, the system may be about to close the others.
void ProcessCheck::lookAgain(const CheckPtr &check)
{
    if (m_options.openConnections(check->server, check->aliveAt) == check->openConnections)
        finish(*check, ProcessEvidence::OpenConnection);
    else
        connect(check);
}

void ProcessCheck::connect(const CheckPtr &check)
{
    m_options.connect(check->server, m_options.connectTimeout, m_options.closeTime,
                      [this, check, isAlive = std::weak_ptr<bool>(m_isAlive)](bool isOpen) {
                          if (isAlive.expired())
                              return;
                          if (isOpen)
                              finish(*check, evidenceOfNewConnection(*check));
                          else
                              connectAgain(check);
                      });
}

/// An endpoint at its connection limit accepts connections and resets them. If the connection was
/// reset as the system closed the listening socket, another one is refused.
void ProcessCheck::connectAgain(const CheckPtr &check)
{
    const std::weak_ptr<bool> isAlive = m_isAlive;
    m_options.timers->start(m_options.closeTime, [this, check, isAlive] {
        if (isAlive.expired())
            return;
        m_options.connect(check->server, m_options.connectTimeout, {},
                          [this, check, isAlive](bool isOpen) {
                              if (!isAlive.expired())
                                  finish(*check,
                                         isOpen ? evidenceOfNewConnection(*check)
                                                : ProcessEvidence::NoConnection);
                          });
    });
}

ProcessEvidence ProcessCheck::evidenceOfNewConnection(const Check &check) const
{
    const Base::Duration age = m_options.timers->clock().now() - check.closedAt;
    return age < m_options.minRestartTime ? ProcessEvidence::NewConnection
                                          : ProcessEvidence::LateConnection;
}

void ProcessCheck::finish(const Check &check, ProcessEvidence evidence) const
{
    const Base::Duration age = m_options.timers->clock().now() - check.closedAt;
    check.checked({.evidence = evidence, .age = age});
}

} // namespace Lagoonbank::Gateway
