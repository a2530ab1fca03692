#include "operations/readcommand.h"

#include "operations/texts.h"

namespace Lagoonbank::Operations {

void ReadCommand::start(Finished finished)
{
    m_finished = std::move(finished);
    m_log.read([this](const Errors::Result<void> &result) {
        m_finished(result ? report() : logFailure(result.error(), "The command has no result."));
    });
}

} // namespace Lagoonbank::Operations
