#define BOOST_TEST_MODULE ConfigurationRules
#include <boost/test/unit_test.hpp>

#include "configuration/rules.h"

#include <algorithm>

using namespace Lagoonbank;
using namespace Lagoonbank::Configuration;

namespace {

std::string contract(const std::string &name, char key, const std::string &more = {})
{
    return "---\nkind: contract\nname: " + name + "\nkeys: [" + std::string(64, key)
        + "]\nrequests_per_second: 1\nrequest_burst: 1\ntokens_per_second: 1\ntoken_burst: 1\n"
          "concurrency: 1\n"
        + more;
}

std::string endpoint(const std::string &more)
{
    return "---\nkind: endpoint\nname: e\naddress: 127.0.0.1:1\ndata_centre: north\nregion: r\n"
           "capacity: 10\n"
        + more;
}

const std::string base = "kind: data_centre\nname: north\nregion: r\n"
                         "---\nkind: model\nname: small\nversions: [{version: v1, adapters: [a]}]\n"
                         "---\nkind: service\nname: booking\n";

std::string errorsOf(const std::string &text)
{
    const auto read = Schema::readObjects("f.yaml", text);
    BOOST_REQUIRE_MESSAGE(read, (read ? "" : Schema::toText(read.error())));
    return Schema::toText(checkAll(read.value()));
}

} // namespace

BOOST_AUTO_TEST_CASE(acceptsConsistentObjects)
{
    const std::string text = base
        + contract("hall", 'a',
                   "models: [small]\nservices: [booking]\n"
                   "non_idempotent: [{service: booking}]\n")
        + endpoint("type: engine\nmodel: small\n");
    BOOST_TEST(errorsOf(text) == "");
    const auto table = makeTable(Schema::readObjects("f.yaml", text).value());
    BOOST_REQUIRE(table);
    BOOST_TEST(table.value().contractOfKey(std::string(64, 'a'))->name
               == Base::WorkspaceId("hall"));
    BOOST_TEST(table.value().contractOfKey(std::string(64, 'b')) == nullptr);
    BOOST_TEST(table.value().policy().loadBound == 1.25);
}

BOOST_AUTO_TEST_CASE(reportsEachErrorWithItsLine)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {contract("hall", 'a', "default_priority: urgent\n"),
         "f.yaml:20: default_priority: \"urgent\" is not among priorities; give one of their "
         "names\n"},
        {contract("hall", 'a', "default_deadline_ms: 20\nmax_deadline_ms: 10\n"),
         "f.yaml:20: default_deadline_ms: is above max_deadline_ms; give at most that\n"},
        {contract("hall", 'a', "non_idempotent: [{service: booking}]\n"),
         "f.yaml:20: non_idempotent: \"booking\" is not among services; add it there\n"},
        {contract("hall", 'a', "models: [large]\n"),
         "f.yaml:20: models: there is no model/large; publish it first or correct the name\n"},
        {contract("hall", 'a', "services: [bookng]\n"),
         "f.yaml:20: services: there is no service/bookng; publish it first or correct the name\n"},
        {contract("hall", 'a') + contract("lobby", 'a'),
         "f.yaml:14: keys: a bearer key belongs to contract \"lobby\" already; give each contract "
         "keys of its own\n"
         "f.yaml:23: keys: a bearer key belongs to contract \"hall\" already; give each contract "
         "keys of its own\n"},
        {"---\nkind: service\nname: booking\n",
         "f.yaml:12: service/booking is given twice, first at f.yaml:10; keep one\n"},
        {endpoint("type: engine\n"),
         "f.yaml:12: model: missing; name the model that the engine serves\n"},
        {endpoint("type: engine\nmodel: small\nservice: booking\n"),
         "f.yaml:20: service: is for endpoints of type service; remove it\n"},
        {endpoint("type: service\nservice: booking\nmodel: small\n"),
         "f.yaml:20: model: is for endpoints of type engine; remove it\n"},
        {endpoint("type: service\nservice: ledger\n"),
         "f.yaml:19: service: there is no service/ledger; publish it first or correct the name\n"},
        {"---\nkind: model\nname: m\nversions: [{version: v1}]\nserving_version: v2\n",
         "f.yaml:15: serving_version: \"v2\" is not among versions; add it there\n"},
        {"---\nkind: model\nname: m\nversions: [{version: v1}]\nserving_version: v1\n"
         "serving_adapter: b\n",
         "f.yaml:16: serving_adapter: \"b\" is not among the version's adapters; add it there\n"},
        {"---\nkind: model\nname: m\nserving_adapter: b\n",
         "f.yaml:14: serving_adapter: needs serving_version; add it\n"},
    };
    for (const auto &[text, expected] : cases)
        BOOST_TEST(errorsOf(base + text) == expected);
}

BOOST_AUTO_TEST_CASE(refusesRemovalOfReferencedObjects)
{
    const auto table = makeTable(
        Schema::readObjects("f.yaml", base + endpoint("type: engine\nmodel: small\n")).value());
    BOOST_REQUIRE(table);
    using Schema::ObjectKind;
    BOOST_TEST(Schema::toText(checkRemoval({ObjectKind::Model, "small"}, table.value()))
               == "f.yaml:19: model: names model/small, which cannot be removed before this\n");
    BOOST_TEST(checkRemoval({ObjectKind::DataCentre, "north"}, table.value()).size() == 1U);
    BOOST_TEST(checkRemoval({ObjectKind::Service, "booking"}, table.value()).empty());
}

BOOST_AUTO_TEST_CASE(publishOrderSatisfiesReferences)
{
    const auto documents = Schema::readObjects(
        "f.yaml",
        endpoint("type: engine\nmodel: small\n")
            + contract("hall", 'a', "models: [small]\nservices: [booking]\n") + "---\n" + base);
    BOOST_REQUIRE(documents);
    ObjectTable table;
    for (const Schema::ObjectKind kind : publishOrder()) {
        for (const Schema::ObjectDocument &document : documents.value()) {
            if (Schema::kindOf(document.object) != kind)
                continue;
            BOOST_TEST(Schema::toText(checkReferences(document.object, table)) == "");
            table.set(document.object);
        }
    }
    BOOST_TEST(table.size() == documents.value().size());
}

BOOST_AUTO_TEST_CASE(aKeyMovesBetweenContracts)
{
    const auto object = [](const std::string &text) {
        return Schema::readObject("f.yaml", text).value();
    };
    ObjectTable table;
    table.set(object(contract("b", 'a')));
    // A peer's state contains both changes, ordered by name rather than by time.
    table.set(object(contract("a", 'a')));
    table.set(object(contract("b", 'c')));
    BOOST_TEST(table.contractOfKey(std::string(64, 'a'))->name == Base::WorkspaceId("a"));
    BOOST_TEST(table.contractOfKey(std::string(64, 'c'))->name == Base::WorkspaceId("b"));
    table.remove({Schema::ObjectKind::Contract, "a"});
    BOOST_TEST(table.contractOfKey(std::string(64, 'a')) == nullptr);
}
