#pragma once

#include "operations/adminclient.h"
#include "operations/command.h"
#include "operations/streamreader.h"

#include <optional>

namespace Lagoonbank::Operations {

/// `status`: shows the state of each process and whether all of them have the latest configuration.
class StatusCommand final : public Command
{
public:
    explicit StatusCommand(const Context &context);

    void start(Finished finished) override;

private:
    void logRead(const Errors::Result<void> &result);
    Report report(const std::vector<AdminAnswer> &answers) const;

    const Context &m_context;
    StreamReader m_stream;
    AdminClient m_client;
    std::optional<Base::LogOffset> m_logEnd; ///< Not set if the log is unavailable.
    std::string m_logError;
    Finished m_finished;
};

} // namespace Lagoonbank::Operations
