#pragma once

#include "operations/changecommand.h"

namespace Lagoonbank::Operations {

/// `remove KIND NAME`: removes an object from the configuration.
class RemoveCommand final : public ChangeCommand
{
public:
    RemoveCommand(const Context &context, Configuration::ObjectKey key,
                  std::optional<Base::Revision> baseRevision);

protected:
    std::optional<Report> plan() override;

private:
    Configuration::ObjectKey m_key;
    std::optional<Base::Revision> m_baseRevision;
};

} // namespace Lagoonbank::Operations
