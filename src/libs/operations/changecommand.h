#pragma once

#include "operations/changepublisher.h"
#include "operations/command.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Operations {

/// Reports the outcomes of changes, one line per object.
Report reportChanges(const std::vector<ChangeOutcome> &outcomes);

/// Base class of commands that read the configuration and publish changes to it.
class ChangeCommand : public Command
{
public:
    explicit ChangeCommand(const Context &context);

    void start(Finished finished) final;
    Report interruptedReport() const final;

protected:
    /// Adds changes to publisher(). If it returns a report, the command ends with that report and
    /// sends nothing.
    virtual std::optional<Report> plan() = 0;

    const ConfigurationLog &log() const { return m_log; }
    ChangePublisher &publisher() { return m_publisher; }

private:
    void configurationRead(const Errors::Result<void> &result);

    ConfigurationLog m_log;
    ChangePublisher m_publisher;
    bool m_isPlanned = false;
    Finished m_finished;
};

} // namespace Lagoonbank::Operations
