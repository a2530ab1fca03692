#include "operations/publishcommand.h"

#include "operations/texts.h"

namespace Lagoonbank::Operations {

PublishCommand::PublishCommand(const Context &context, Options options)
    : ChangeCommand(context)
    , m_options(std::move(options))
{ }

std::optional<Report> PublishCommand::plan()
{
    auto read = readPaths(m_options.paths);
    if (!read)
        return fileFailure(read.error());
    Documents &documents = read.value();
    const Schema::SettingsErrors errors = checkWithExisting(documents, log().objects());
    if (!errors.empty())
        return fileFailure(errors);
    if (m_options.baseRevision && documents.size() != 1) {
        return failure(ExitStatus::Usage,
                       "--base is the revision of one object; publish a file with one object.");
    }
    sortForPublishing(documents);
    for (const Schema::ObjectDocument &document : documents)
        publisher().addObject(document.object, m_options.baseRevision);
    return std::nullopt;
}

} // namespace Lagoonbank::Operations
