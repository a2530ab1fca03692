#include "router/routerprocess.h"
#include "runtime/loop.h"
#include "schema/generated/settings.h"
#include "schema/objectreader.h"
#include "schema/settingserror.h"
#include "schema/yamlreader.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this router");

using namespace Lagoonbank;

namespace {

constexpr int runTimeFailure = 1;
constexpr int usageFailure = 2;

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Takes callers' requests and passes them to endpoints.\n"
                                 "lagoonbank-router --settings router.yaml");
    absl::ParseCommandLine(argc, argv);
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        std::cerr << "lagoonbank-router: --settings is missing; give a YAML file.\n";
        return usageFailure;
    }
    const auto settings = Schema::readSettingsFile<Schema::RouterSettings>(file);
    if (!settings) {
        std::cerr << Schema::toText(settings.error());
        return usageFailure;
    }

    Runtime::Loop loop;
    Router::RouterProcess router(loop, settings.value());
    const auto started = router.start();
    if (!started) {
        std::cerr << "lagoonbank-router: " << started.error() << '\n';
        return runTimeFailure;
    }
    if (settings.value().bootstrap) {
        const auto objects = Schema::readObjectFiles(*settings.value().bootstrap);
        if (!objects) {
            std::cerr << Schema::toText(objects.error());
            return usageFailure;
        }
        std::vector<Schema::ConfigurationObject> configuration;
        for (const Schema::ObjectDocument &document : objects.value())
            configuration.push_back(document.object);
        router.setConfiguration(configuration);
    }
    loop.onSignal(SIGTERM, [&router] { router.stopGracefully(); });
    loop.onSignal(SIGINT, [&router] { router.stopGracefully(); });
    loop.run();
    return 0;
}
