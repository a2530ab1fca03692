#include "operations/removecommand.h"

namespace Lagoonbank::Operations {

RemoveCommand::RemoveCommand(const Context &context, Configuration::ObjectKey key,
                             std::optional<Base::Revision> baseRevision)
    : ChangeCommand(context)
    , m_key(std::move(key))
    , m_baseRevision(baseRevision)
{ }

std::optional<Report> RemoveCommand::plan()
{
    if (!log().entry(m_key)) {
        return failure(ExitStatus::NotFound,
                       "There is no " + toString(m_key)
                           + "; `lagoonbank-ctl show` lists the objects that exist.");
    }
    publisher().addRemoval(m_key, m_baseRevision);
    return std::nullopt;
}

} // namespace Lagoonbank::Operations
