#include "configuration/rules.h"
#include "logging/logging.h"
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
#include <utility>
#include <vector>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this router");

using namespace Lagoonbank;

namespace {

constexpr int runTimeFailure = 1;
constexpr int usageFailure = 2;

Logging::Level levelOf(Schema::LogLevel level)
{
    return Logging::parseLevel(Schema::toString(level)).value();
}

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

    const Schema::LogSettings &log = settings.value().log;
    Logging::configure({.level = levelOf(log.level), .json = log.json});
    std::vector<Schema::ConfigurationObject> fixed;
    if (settings.value().bootstrap) {
        const auto read = Schema::readObjectFiles(*settings.value().bootstrap);
        if (!read) {
            std::cerr << Schema::toText(read.error());
            return usageFailure;
        }
        const Schema::SettingsErrors wrong = Configuration::checkAll(read.value());
        if (!wrong.empty()) {
            std::cerr << Schema::toText(wrong);
            return usageFailure;
        }
        for (const Schema::ObjectDocument &document : read.value())
            fixed.push_back(document.object);
    }

    Runtime::Loop loop;
    Router::RouterProcess router(loop, settings.value());
    const auto started = router.start();
    if (!started) {
        std::cerr << "lagoonbank-router: " << started.error() << '\n';
        return runTimeFailure;
    }
    if (settings.value().bootstrap)
        router.setFixedConfiguration(std::move(fixed));
    loop.onSignal(SIGTERM, [&router] { router.stopGracefully(); });
    loop.onSignal(SIGINT, [&router] { router.stopGracefully(); });
    loop.onSignal(SIGHUP, [&router] { router.reload(); });
    loop.run();
    return 0;
}
