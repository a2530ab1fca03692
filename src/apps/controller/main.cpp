#include "controller/controllerprocess.h"
#include "node/program.h"
#include "runtime/loop.h"
#include "schema/generated/settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <string>
#include <string_view>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this controller");

using namespace Lagoonbank;

namespace {

constexpr std::string_view program = "lagoonbank-controller";

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Probes the endpoints of a data centre and sends them their orders.\n"
        "lagoonbank-controller --settings controller.yaml");
    absl::ParseCommandLine(argc, argv);
    const auto settings =
        Node::loadSettings<Schema::ControllerSettings>(program, absl::GetFlag(FLAGS_settings));
    if (!settings)
        return Node::usageFailure;

    Runtime::Loop loop;
    Controller::ControllerProcess controller(loop, *settings);
    if (!Node::startProcess(program, controller))
        return Node::runTimeFailure;
    Node::runUntilStopped(loop, controller);
    return 0;
}
