#pragma once

#include "operations/command.h"
#include "operations/configurationlog.h"

namespace Lagoonbank::Operations {

/// Base class of commands that read the configuration from the log and report on it.
class ReadCommand : public Command
{
public:
    explicit ReadCommand(const Context &context)
        : m_log(context)
    { }

    void start(Finished finished) final;

protected:
    virtual Report report() const = 0;
    const ConfigurationLog &log() const { return m_log; }

private:
    ConfigurationLog m_log;
    Finished m_finished;
};

} // namespace Lagoonbank::Operations
