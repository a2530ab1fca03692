#include "operations/removecommand.h"

namespace Lagoonbank::Operations {

RemoveCommand::RemoveCommand(const Context &context, Configuration::ObjectKey key,
                             std::optional<Base::Revision> base)
    : ChangeCommand(context)
    , m_key(std::move(key))
    , m_base(base)
{ }

std::optional<Report> RemoveCommand::plan()
{
    if (!log().entry(m_key)) {
        return failure(ExitStatus::NotFound,
                       "There is no " + toString(m_key)
                           + "; `lagoonbank-ctl show` lists the objects that exist.");
    }
    publisher().addRemoval(m_key, m_base);
    return std::nullopt;
}

} // namespace Lagoonbank::Operations
