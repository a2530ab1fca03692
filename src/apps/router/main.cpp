#include "configuration/rules.h"
#include "node/program.h"
#include "router/routerprocess.h"
#include "runtime/allocator.h"
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

/// Reads configuration objects from a file or folder and checks them like published ones.
Schema::ReadResult<Objects> readObjects(const std::string &path)
{
    auto read = Schema::readObjectFiles(path);
    if (!read)
        return read.error();
    Schema::SettingsErrors errors = Configuration::checkAll(read.value());
    if (!errors.empty())
        return errors;
    Objects objects;
    for (const Schema::ObjectDocument &document : read.value())
        objects.push_back(document.object);
    return objects;
}

/// Checks that TLS certificate and key are either both given or both missing, which the checks of
/// the single fields cannot find.
Schema::SettingsErrors checkTlsFiles(const Schema::RouterSettings &settings,
                                     const std::string &file)
{
    if (settings.tlsCertificate.has_value() == settings.tlsKey.has_value())
        return {};
    const char *given = settings.tlsCertificate ? "tls_certificate" : "tls_key";
    const char *missing = settings.tlsCertificate ? "tls_key" : "tls_certificate";
    return {{file, 1,
             std::string(given) + " is given without " + missing
                 + "; give both, or neither for plain text"}};
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Receives callers' requests and forwards them to endpoints.\n"
                                 "lagoonbank-router --settings router.yaml");
    absl::ParseCommandLine(argc, argv);
    const auto settings =
        Node::loadSettings<Schema::RouterSettings>(program, absl::GetFlag(FLAGS_settings));
    if (!settings)
        return Node::usageFailure;
    const Schema::SettingsErrors errors = checkTlsFiles(*settings, absl::GetFlag(FLAGS_settings));
    if (!errors.empty())
        return Node::settingsFailure(errors);
    Objects bootstrapObjects;
    if (settings->bootstrap) {
        auto read = readObjects(*settings->bootstrap);
        if (!read)
            return Node::settingsFailure(read.error());
        bootstrapObjects = std::move(read.value());
    }

    Runtime::returnLargeBlocks();
    Runtime::Loop loop;
    Router::RouterProcess router(loop, *settings);
    if (!Node::startProcess(program, router))
        return Node::runTimeFailure;
    if (settings->bootstrap)
        router.setFixedConfiguration(std::move(bootstrapObjects));
    loop.onSignal(SIGHUP, [&router] { router.reload(); });
    Node::runUntilStopped(loop, router);
    return 0;
}
