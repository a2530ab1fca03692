#pragma once

#include "operations/changecommand.h"
#include "operations/objectfiles.h"

namespace Lagoonbank::Operations {

/// `publish PATH...`: publishes the objects in the files to the log.
class PublishCommand final : public ChangeCommand
{
public:
    struct Options
    {
        std::vector<std::string> paths;
        /// Revision the file is based on; for one object only.
        std::optional<Base::Revision> baseRevision;
    };

    PublishCommand(const Context &context, Options options);

protected:
    std::optional<Report> plan() override;

private:
    Options m_options;
};

} // namespace Lagoonbank::Operations
