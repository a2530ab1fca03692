#define BOOST_TEST_MODULE ObjectReader
#include <boost/test/unit_test.hpp>

#include "schema/jsonwriter.h"
#include "schema/objectreader.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Schema;

namespace {

const std::string hash(64, 'a');

const std::string contractText = "# The hall\n"
                                 "kind: contract\n"
                                 "name: hall\n"
                                 "keys: ["
    + hash
    + "]\n"
      "requests_per_second: 10\n"
      "request_burst: 20\n"
      "tokens_per_second: 1e4\n"
      "token_burst: 20000\n"
      "concurrency: 8\n"
      "priorities: {urgent: 0, normal: 5}\n"
      "non_idempotent:\n"
      "  - {service: booking, path_prefix: /book}\n"
      "when_log_is_out: local\n";

} // namespace

BOOST_AUTO_TEST_CASE(recordsLineOfEachField)
{
    const auto read = readObjects(
        "contracts/hall.yaml", contractText + "---\nkind: data_centre\nname: north\nregion: r\n");
    BOOST_REQUIRE_MESSAGE(read, (read ? "" : toText(read.error())));
    BOOST_REQUIRE(read.value().size() == 2U);
    const auto &contract = std::get<Contract>(read.value()[0].object);
    BOOST_TEST(contract.name == Base::WorkspaceId("hall"));
    BOOST_TEST(contract.tokensPerSecond == 10000.0);
    BOOST_TEST(contract.priorities.at("urgent") == 0U);
    BOOST_TEST(contract.nonIdempotent.at(0).methods.at(0) == "POST");
    BOOST_TEST(contract.whenLogIsOut == LogOutPolicy::Local);
    BOOST_TEST(contract.source.locationOf("concurrency") == "contracts/hall.yaml:9");
    BOOST_TEST(contract.source.locationOf("retry_budget") == "contracts/hall.yaml:2");
    const ObjectDocument &second = read.value()[1];
    BOOST_TEST(sourceOf(second.object).locationOf("region") == "contracts/hall.yaml:17");
    const auto single = readObject("contracts/hall.yaml", second.text, second.line);
    BOOST_REQUIRE(single);
    BOOST_TEST((sourceOf(single.value()).lines == sourceOf(second.object).lines));
    BOOST_TEST((single.value() == second.object));
}

BOOST_AUTO_TEST_CASE(reportsErrorsInObjects)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {"kind: contrct\nname: a\n",
         "f.yaml:1: kind: contrct is unknown; did you mean contract?\n"},
        {"name: a\n",
         "f.yaml:1: kind: missing; give one of: contract service model endpoint "
         "data_centre policy\n"},
        {"- a\n", "f.yaml:1: the document is not a map; begin it with kind and name\n"},
        {"kind: service\nname: a b\n",
         "f.yaml:2: name: a b is not a name; give 1 to 128 letters, digits, '-', '_' or '.'\n"},
        {"---\n---\nkind: data_centre\nname: n\n", "f.yaml:3: region: missing; add this key\n"},
        {"kind: policy\nname: default\nload_bound: 0.9\n",
         "f.yaml:3: load_bound: 0.9 is below 1; give a number from 1 to 100\n"},
        {"kind: policy\nname: default\nload_bound: .nan\n",
         "f.yaml:3: load_bound: .nan is not a number; give a number from 1 to 100\n"},
        {"kind: [1\n", "f.yaml:2: not valid YAML: end of sequence flow not found\n"},
    };
    for (const auto &[text, expected] : cases) {
        const auto read = readObjects("f.yaml", text);
        BOOST_REQUIRE_MESSAGE(!read, text);
        BOOST_TEST(toText(read.error()) == expected);
    }
}

BOOST_AUTO_TEST_CASE(readsWrittenObjects)
{
    const ConfigurationObject object = readObject("a", contractText).value();
    for (const std::string &text : {toYamlText(toJson(object)), toJson(object).dump()}) {
        const auto restored = readObject("b", text);
        BOOST_REQUIRE_MESSAGE(restored, (restored ? "" : toText(restored.error())));
        BOOST_TEST((restored.value() == object));
    }
    for (const EnumName<ObjectKind> &entry : enumNames(ObjectKind{}))
        BOOST_TEST((kindOf(makeObject(entry.value)) == entry.value));
}
