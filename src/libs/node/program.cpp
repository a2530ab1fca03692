#include "node/program.h"

namespace Lagoonbank::Node {

void configureLog(const Schema::LogSettings &settings)
{
    const std::string_view level = Schema::toString(settings.level);
    Logging::configure({.level = Logging::parseLevel(level).value(), .json = settings.json});
}

int settingsFailure(const Schema::SettingsErrors &errors)
{
    std::cerr << Schema::toText(errors);
    return usageFailure;
}

} // namespace Lagoonbank::Node
