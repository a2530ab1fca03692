#pragma once

#include "operations/changecommand.h"
#include "operations/objectfiles.h"

namespace Lagoonbank::Operations {

/// `publish PATH...`: puts the files' objects into the log.
class PublishCommand final : public ChangeCommand
{
public:
    struct Options
    {
        std::vector<std::string> paths;
        std::optional<Base::Revision> base; ///< That the file is based on; for one object alone.
    };

    PublishCommand(const Context &context, Options options);

protected:
    std::optional<Report> plan() override;

private:
    Options m_options;
};

} // namespace Lagoonbank::Operations
