#include "controller/controllerprocess.h"
#include "logging/logging.h"
#include "runtime/loop.h"
#include "schema/generated/settings.h"
#include "schema/settingserror.h"
#include "schema/yamlreader.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this controller");

using namespace Lagoonbank;

namespace {

constexpr int runTimeFailure = 1;
constexpr int usageFailure = 2;

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Probes the endpoints of a data centre and orders them.\n"
                                 "lagoonbank-controller --settings controller.yaml");
    absl::ParseCommandLine(argc, argv);
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        std::cerr << "lagoonbank-controller: --settings is missing; give a YAML file.\n";
        return usageFailure;
    }
    const auto settings = Schema::readSettingsFile<Schema::ControllerSettings>(file);
    if (!settings) {
        std::cerr << Schema::toText(settings.error());
        return usageFailure;
    }
    const Schema::LogSettings &log = settings.value().log;
    Logging::configure(
        {.level = Logging::parseLevel(Schema::toString(log.level)).value(), .json = log.json});

    Runtime::Loop loop;
    Controller::ControllerProcess controller(loop, settings.value());
    const auto started = controller.start();
    if (!started) {
        std::cerr << "lagoonbank-controller: " << started.error() << '\n';
        return runTimeFailure;
    }
    loop.onSignal(SIGTERM, [&controller] { controller.stopGracefully(); });
    loop.onSignal(SIGINT, [&controller] { controller.stopGracefully(); });
    loop.run();
    return 0;
}
