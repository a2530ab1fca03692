#define BOOST_TEST_MODULE YamlReader
#include <boost/test/unit_test.hpp>

#include "schema/generated/settings.h"
#include "schema/jsonwriter.h"
#include "schema/yamlreader.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Schema;

namespace {

const std::string completeSettings = "vm: a\n"
                                     "data_centre: d\n"
                                     "region: r\n"
                                     "listen_address: 127.0.0.1:1\n"
                                     "admin_address: 127.0.0.1:2\n"
                                     "peer_address: '[::1]:3'\n"
                                     "peer_keys: [secret]\n"
                                     "placement_key: hidden\n";

/// Lines that are appended to complete settings, and the errors that they cause.
struct ErrorCase
{
    std::string lines;
    std::vector<std::string> errors;
};

} // namespace

BOOST_AUTO_TEST_CASE(readsSettingsAndKeepsDefaults)
{
    const auto read = readSettingsText<RouterSettings>(
        "router.yaml",
        completeSettings
            + "limits: {request_timeout_ms: 250}\nlog: {level: error}\n"
              "seeds: ['127.0.0.1:9', '127.0.0.2:9']\n");
    BOOST_REQUIRE_MESSAGE(read, (read ? "" : toText(read.error())));
    const RouterSettings &settings = read.value();
    BOOST_TEST(settings.vm == Base::VmId("a"));
    BOOST_TEST(settings.peerAddress == "[::1]:3");
    BOOST_TEST((settings.limits.requestTimeout == std::chrono::milliseconds(250)));
    BOOST_TEST(settings.limits.maxBodyBytes == 8388608U);
    BOOST_TEST(settings.log.level == LogLevel::Error);
    BOOST_TEST(settings.seeds.size() == 2U);
    BOOST_TEST(!settings.tlsKey.has_value());
}

BOOST_AUTO_TEST_CASE(reportsLocationAndCorrectionOfEachError)
{
    const std::vector<ErrorCase> cases{
        {"limits:\n  event_ring_size: -5\n",
         {"router.yaml:10: limits.event_ring_size: -5 is below 16; "
          "give a whole number from 16 to 16777216"}},
        {"limits: {event_ring_size: 16777217}\n",
         {"router.yaml:9: limits.event_ring_size: 16777217 is above 16777216; "
          "give a whole number from 16 to 16777216"}},
        {"limits: {event_ring_size: many}\n",
         {"router.yaml:9: limits.event_ring_size: many is not a whole number; "
          "give a whole number from 16 to 16777216"}},
        {"limits: {event_ring_size: \"64\"}\n",
         {"router.yaml:9: limits.event_ring_size: 64 is not a whole number; "
          "give a whole number from 16 to 16777216"}},
        {"limits: [1]\n", {"router.yaml:9: limits is not a map; give keys with values"}},
        {"log: {json: yes}\n",
         {"router.yaml:9: log.json: yes is not a truth value; give true or false"}},
        {"log: {level: inf}\n", {"router.yaml:9: log.level: inf is unknown; did you mean info?"}},
        {"log: {level: loudest}\n",
         {"router.yaml:9: log.level: loudest is unknown; "
          "give one of: debug, info, warning, error"}},
        {"seed: []\n", {"router.yaml:9: seed: unknown key; did you mean seeds?"}},
        {"seeds: 127.0.0.1:9\n",
         {"router.yaml:9: seeds: 127.0.0.1:9 is not a list; give a list ([a, b] or lines of - a)"}},
        {"seeds: ['127.0.0.1:99999']\n",
         {"router.yaml:9: seeds[0]: 127.0.0.1:99999 is not an address; "
          "give ip:port, such as 127.0.0.1:8080 or [::1]:8080"}},
        {"seeds: ['localhost:1']\n",
         {"router.yaml:9: seeds[0]: localhost:1 is not an address; "
          "give ip:port, such as 127.0.0.1:8080 or [::1]:8080"}},
        {"region: s\n", {"router.yaml:9: region: given twice, first on line 3; keep one"}},
        {"vms: 1\nlog: {jsn: true}\n",
         {"router.yaml:10: log.jsn: unknown key; did you mean json?",
          "router.yaml:9: vms: unknown key; did you mean vm?"}},
        {"log: [\n", {"router.yaml:10: not valid YAML: end of sequence flow not found"}},
        {"---\nvm: b\n", {"router.yaml:10: a second document; settings are one YAML document"}},
    };
    for (const ErrorCase &errorCase : cases) {
        const auto read =
            readSettingsText<RouterSettings>("router.yaml", completeSettings + errorCase.lines);
        BOOST_REQUIRE_MESSAGE(!read, errorCase.lines);
        std::string expected;
        for (const std::string &error : errorCase.errors)
            expected += error + "\n";
        BOOST_TEST(toText(read.error()) == expected);
    }
}

BOOST_AUTO_TEST_CASE(reportsAllMissingKeysAtOnce)
{
    const auto read = readSettingsText<CtlSettings>("ctl.yaml", "timeout_ms: 5\n");
    BOOST_REQUIRE(!read);
    BOOST_TEST(toText(read.error())
               == "ctl.yaml:1: platform_address: missing; add this key\n"
                  "ctl.yaml:1: timeout_ms: 5 is below 10; give a whole number from 10 to 600000\n");
    BOOST_TEST(!readSettingsText<CtlSettings>("ctl.yaml", ""));
    BOOST_TEST(!readSettingsText<CtlSettings>("ctl.yaml", "just text"));
    BOOST_TEST(!readSettingsFile<CtlSettings>("/nonexistent/ctl.yaml"));
}

BOOST_AUTO_TEST_CASE(keepsSecretsOutOfErrors)
{
    const auto read = readSettingsText<RouterSettings>(
        "router.yaml", "peer_keys: {hush: 1}\nplacement_key: [hush]\n");
    BOOST_REQUIRE(!read);
    BOOST_TEST(toText(read.error()).find("hush") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(readsWrittenSettings)
{
    const RouterSettings settings = readSettingsText<RouterSettings>("a", completeSettings).value();
    const auto yaml = readSettingsText<RouterSettings>("b", toYamlText(toJson(settings)));
    BOOST_REQUIRE_MESSAGE(yaml, (yaml ? "" : toText(yaml.error())));
    BOOST_TEST((yaml.value() == settings));
    const auto json = readSettingsText<RouterSettings>("c", toJson(settings).dump(2));
    BOOST_REQUIRE_MESSAGE(json, (json ? "" : toText(json.error())));
    BOOST_TEST((json.value() == settings));
}
