#pragma once

#include "operations/changepublisher.h"
#include "operations/command.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Operations {

/// What the outcomes of changes come to, one line an object.
Report reportChanges(const std::vector<ChangeOutcome> &outcomes);

/// A command that reads the configuration, decides on changes and publishes them.
class ChangeCommand : public Command
{
public:
    explicit ChangeCommand(const Context &context);

    void start(Finished finished) final;
    Report interruptedReport() const final;

protected:
    /// Adds changes to publisher(); a report ends the command without sending anything.
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
