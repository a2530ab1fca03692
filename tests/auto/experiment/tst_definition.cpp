#define BOOST_TEST_MODULE definition
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "experiment/definitionreader.h"

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace Lagoonbank;
using namespace Lagoonbank::Experiment;

namespace {

const std::string deployment = R"(name: small
ports: {platform: 7300, router: 8080, router_admin: 8081, engine: 9000, service: 9100}
platform: {ip: 127.10.0.1}
vms:
  - {name: vm-1, data_centre: gulberg, ip: 127.10.1.1}
engines:
  - {name: engine-1, data_centre: gulberg, ip: 127.10.1.10, model: assistant}
services:
  - {name: booking-1, data_centre: gulberg, ip: 127.10.1.20, service: booking}
bearer_keys: {front-desk: key-1}
)";

const std::string experiment = R"(name: test
deployment: deployment.yaml
seed: 7
seconds: 3
workspaces:
  - name: front-desk
    rate: 10
    surges: [{from: 1, to: 2, times: 5}]
    calls:
      - {name: hint, model: assistant, prompt: {min: 5, mean: 10, max: 50}, answer: 8}
      - {name: booking, service: booking, path: rooms, idempotent: false, with_key: true, duplicates: 0.5}
time_line:
  - {at: 2, kind: drain, endpoint: engine-1}
  - {at: 1, kind: fault, endpoint: booking-1, body: '{"fault": "slow"}'}
)";

class Folder
{
public:
    Folder()
        : m_path(std::filesystem::temp_directory_path()
                 / ("lagoonbank-definition-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_path);
        write("deployment.yaml", deployment);
    }
    ~Folder() { std::filesystem::remove_all(m_path); }

    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_path / name) << text;
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
};

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

struct Mistake
{
    std::string from;
    std::string to;
    std::string error; ///< Expected start of the message after the file name.
};

std::ostream &operator<<(std::ostream &stream, const Mistake &mistake)
{
    return stream << mistake.to;
}

const std::vector<Mistake> mistakes{
    {"seed: 7", "seed: x", ":3: 'seed' must be a whole number"},
    {"seed: 7\n", "", ":1: key 'seed' is missing"},
    {"seconds: 3", "seconds: 0", ":4: 'seconds' must be from 0.1 to 3600"},
    {"seconds: 3", "seconds: 3\nsecond: 3", ":5: unknown key 'second'"},
    {"seconds: 3", "seconds: 3\nseconds: 3", ":5: key 'seconds' is there twice"},
    {"deployment: deployment.yaml", "deployment: none.yaml", ":2: deployment file"},
    {"name: front-desk", "name: nobody", ":6: workspace 'nobody' is not in the deployment"},
    {"mean: 10", "mean: 4", ":10: 'mean' must be from 5 to 50"},
    {"from: 1", "from: 2", ":8: a surge's 'from' must be before its 'to'"},
    {"with_key: true", "with_key: false", ":11: duplicates of a call that must not be repeated"},
    {"kind: drain", "kind: melt", ":13: 'kind' must be"},
    {"endpoint: engine-1", "endpoint: engine-9", ":13: endpoint 'engine-9' is not in"},
    {"name: test", "name: [", ":3: end of sequence flow not found"},
};

} // namespace

BOOST_AUTO_TEST_CASE(experimentIsRead)
{
    const Folder folder;
    const auto result = readDefinition({.file = folder.write("experiment.yaml", experiment)});
    BOOST_REQUIRE(result.has_value());
    const Definition &definition = result.value();
    BOOST_TEST(definition.routers.front().address == "127.10.1.1:8080");
    BOOST_TEST(definition.routers.front().adminAddress == "127.10.1.1:8081");
    BOOST_TEST(definition.endpoints.size() == 2U);
    BOOST_TEST(definition.platformAddress == "127.10.0.1:7300");
    BOOST_TEST(definition.workspaces.front().bearerKey == "key-1");
    BOOST_TEST(definition.workspaces.front().kinds.size() == 2U);
    BOOST_REQUIRE(definition.events.size() == 2U);
    BOOST_TEST((definition.events.front().kind == EventKind::Fault));
}

BOOST_AUTO_TEST_CASE(optionsOverrideTheFile)
{
    const Folder folder;
    const auto result = readDefinition({.file = folder.write("experiment.yaml", experiment),
                                        .seed = 9,
                                        .seconds = 1.5,
                                        .net = 77});
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result.value().seed == 9U);
    BOOST_TEST(Base::toSeconds(result.value().length) == 1.5);
    BOOST_TEST(result.value().endpoints.back().address == "127.77.1.20:9100");
}

BOOST_AUTO_TEST_CASE(onlyLoopbackAddressesAreAccepted)
{
    const Folder folder;
    folder.write("deployment.yaml", replaced(deployment, "127.10.1.1}", "10.0.0.1}"));
    const auto result = readDefinition({.file = folder.write("experiment.yaml", experiment)});
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST(result.error().detail.find("deployment.yaml:5: ") != std::string::npos);
}

BOOST_DATA_TEST_CASE(errorsNameTheLine, boost::unit_test::data::make(mistakes), mistake)
{
    const Folder folder;
    const std::string file =
        folder.write("experiment.yaml", replaced(experiment, mistake.from, mistake.to));
    const auto result = readDefinition({.file = file});
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST(result.error().detail.starts_with(file + mistake.error), result.error().detail);
}

BOOST_AUTO_TEST_CASE(missingFileIsAnError)
{
    const auto result = readDefinition({.file = "/nowhere/experiment.yaml"});
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST(result.error().detail == "/nowhere/experiment.yaml:1: cannot be read");
}
