#include "operations/checkcommand.h"

#include "configuration/rules.h"
#include "operations/objectfiles.h"
#include "operations/texts.h"

#include <absl/strings/str_cat.h>

namespace Lagoonbank::Operations {

void CheckCommand::start(Finished finished)
{
    const auto read = readPaths(m_paths);
    if (!read)
        return finished(fileFailure(read.error()));
    const Schema::SettingsErrors errors = Configuration::checkAll(read.value());
    if (!errors.empty())
        return finished(fileFailure(errors));
    Report report;
    report.text = absl::StrCat("ok, ", read.value().size(), " objects\n");
    report.json["objects"] = read.value().size();
    finished(report);
}

} // namespace Lagoonbank::Operations
