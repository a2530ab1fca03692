#include "operations/endpointcommands.h"

#include "operations/objectfiles.h"
#include "operations/texts.h"

namespace Lagoonbank::Operations {

EndpointAddCommand::EndpointAddCommand(const Context &context, std::string file)
    : ChangeCommand(context)
    , m_file(std::move(file))
{ }

std::optional<Report> EndpointAddCommand::plan()
{
    const auto read = readPaths({m_file});
    if (!read)
        return fileFailure(read.error());
    const Schema::SettingsErrors errors = checkWithExisting(read.value(), log().objects());
    if (!errors.empty())
        return fileFailure(errors);
    for (const Schema::ObjectDocument &document : read.value()) {
        const Configuration::ObjectKey key = Configuration::keyOf(document.object);
        if (key.kind != Schema::ObjectKind::Endpoint) {
            return failure(ExitStatus::Usage,
                           Schema::sourceOf(document.object).locationOf("kind")
                               + ": is not an endpoint; use `lagoonbank-ctl publish` instead.");
        }
        const Schema::ConfigurationObject *current = log().objects().find(key);
        if (current && *current != document.object) {
            return failure(ExitStatus::Rejected,
                           toString(key)
                               + " already exists and differs; use `lagoonbank-ctl diff` and "
                                 "`lagoonbank-ctl publish` to change it.");
        }
        publisher().addObject(document.object, std::nullopt);
    }
    return std::nullopt;
}

EndpointStateCommand::EndpointStateCommand(const Context &context, std::string name,
                                           Schema::EndpointState state)
    : ChangeCommand(context)
    , m_name(std::move(name))
    , m_state(state)
{ }

std::optional<Report> EndpointStateCommand::plan()
{
    const Schema::Endpoint *current = log().objects().endpoint(Base::EndpointId(m_name));
    if (!current) {
        return failure(ExitStatus::NotFound,
                       "There is no endpoint " + m_name
                           + "; `lagoonbank-ctl show endpoint` lists them.");
    }
    Schema::Endpoint wanted = *current;
    wanted.state = m_state;
    publisher().addObject(wanted, std::nullopt);
    return std::nullopt;
}

} // namespace Lagoonbank::Operations
