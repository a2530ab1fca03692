#pragma once

#include "operations/objectfiles.h"
#include "operations/readcommand.h"

namespace Lagoonbank::Operations {

/// `diff PATH...`: shows what publishing the files would change.
class DiffCommand final : public ReadCommand
{
public:
    DiffCommand(const Context &context, std::vector<std::string> paths)
        : ReadCommand(context)
        , m_paths(std::move(paths))
    { }

protected:
    Report report() const override;

private:
    void addObject(Report &report, const Schema::ConfigurationObject &object) const;
    void addObjectsOnlyInLog(Report &report, const Documents &documents) const;

    std::vector<std::string> m_paths;
};

} // namespace Lagoonbank::Operations
