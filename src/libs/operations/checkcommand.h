#pragma once

#include "operations/command.h"

namespace Lagoonbank::Operations {

/// `check PATH...`: checks whether the files hold a complete and valid configuration. Needs no
/// platform.
class CheckCommand : public Command
{
public:
    explicit CheckCommand(std::vector<std::string> paths)
        : m_paths(std::move(paths))
    { }

    void start(Finished finished) override;

private:
    std::vector<std::string> m_paths;
};

} // namespace Lagoonbank::Operations
