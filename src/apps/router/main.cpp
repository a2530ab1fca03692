#include "configuration/rules.h"
#include "node/program.h"
#include "router/routerprocess.h"
#include "runtime/loop.h"
#include "schema/generated/settings.h"
#include "schema/objectreader.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings of this router");

using namespace Lagoonbank;

namespace {

constexpr std::string_view program = "lagoonbank-router";

using Objects = std::vector<Schema::ConfigurationObject>;

/// The configuration's objects from a file or folder, checked like published ones.
Schema::ReadResult<Objects> readObjects(const std::string &path)
{
    auto read = Schema::readObjectFiles(path);
    if (!read)
        return read.error();
    Schema::SettingsErrors wrong = Configuration::checkAll(read.value());
    if (!wrong.empty())
        return wrong;
    Objects objects;
    for (const Schema::ObjectDocument &document : read.value())
        objects.push_back(document.object);
    return objects;
}

/// What no single field shows to be wrong.
Schema::SettingsErrors checkTogether(const Schema::RouterSettings &settings,
                                     const std::string &file)
{
    if (settings.tlsCertificate.has_value() == settings.tlsKey.has_value())
        return {};
    const char *there = settings.tlsCertificate ? "tls_certificate" : "tls_key";
    const char *missing = settings.tlsCertificate ? "tls_key" : "tls_certificate";
    return {{file, 1,
             std::string(there) + " is given without " + missing
                 + "; give both, or neither for plain text"}};
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Takes callers' requests and passes them to endpoints.\n"
                                 "lagoonbank-router --settings router.yaml");
    absl::ParseCommandLine(argc, argv);
    const auto settings =
        Node::loadSettings<Schema::RouterSettings>(program, absl::GetFlag(FLAGS_settings));
    if (!settings)
        return Node::usageFailure;
    const Schema::SettingsErrors wrong = checkTogether(*settings, absl::GetFlag(FLAGS_settings));
    if (!wrong.empty())
        return Node::settingsFailure(wrong);
    Objects fixed;
    if (settings->bootstrap) {
        auto read = readObjects(*settings->bootstrap);
        if (!read)
            return Node::settingsFailure(read.error());
        fixed = std::move(read.value());
    }

    Runtime::Loop loop;
    Router::RouterProcess router(loop, *settings);
    if (!Node::startProcess(program, router))
        return Node::runTimeFailure;
    if (settings->bootstrap)
        router.setFixedConfiguration(std::move(fixed));
    loop.onSignal(SIGHUP, [&router] { router.reload(); });
    Node::runUntilStopped(loop, router);
    return 0;
}
