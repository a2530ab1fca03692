#define BOOST_TEST_MODULE tst_fleetconfiguration
#include <boost/test/unit_test.hpp>

#include "fleet/configuration.h"

#include <string>
#include <string_view>

using namespace Lagoonbank;
using namespace Lagoonbank::Fleet;

namespace {

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    return {
        .name = name, .host = host, .prefix = prefix, .services = {{Base::ServiceId("service")}}};
}

Configuration makeConfiguration()
{
    return Configuration(
        {.revision = Base::Revision(7),
         .routes = {route("root", "a.example", "/"), route("short", "a.example", "/x/"),
                    route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/")},
         .workspaces = {{.name = Base::WorkspaceId("one"), .keys = {"k1", "k2"}},
                        {.name = Base::WorkspaceId("two"), .keys = {"k3"}}}});
}

} // namespace

BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
    struct Row
    {
        std::string_view host;
        std::string_view path;
        std::string_view route; ///< Empty for none.
    };
    const Row rows[]{{"a.example", "/x/y/z", "long"},    {"a.example", "/x/y/", "long"},
                     {"a.example", "/x/y", "short"},     {"a.example", "/x/yy/", "short"},
                     {"a.example", "/x", "root"},        {"a.example", "/", "root"},
                     {"a.example", "/q/x/y/", "root"},   {"b.example", "/x/y/z", "other"},
                     {"b.example", "/y/", ""},           {"c.example", "/x/", ""},
                     {"A.Example:8080", "/x/", "short"}, {"a.example", "", ""},
                     {"a.example", "x/y/", ""}};
    const Configuration configuration = makeConfiguration();
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.host << " " << row.path)
        {
            const Route *found = configuration.findRoute(row.host, row.path);
            BOOST_TEST((found ? found->name : "") == row.route);
        }
    }
}

BOOST_AUTO_TEST_CASE(findsWorkspaceByKey)
{
    const Configuration configuration = makeConfiguration();
    BOOST_REQUIRE(configuration.findWorkspace("k2"));
    BOOST_TEST(configuration.findWorkspace("k2")->name.value() == "one");
    BOOST_TEST(!configuration.findWorkspace("k"));
    BOOST_TEST(!configuration.findWorkspace(""));
}

BOOST_AUTO_TEST_CASE(requestsAreSpreadByWeight)
{
    Route split = route("split", "a", "/");
    split.services = {{Base::ServiceId("most"), 90}, {Base::ServiceId("few"), 10}};
    int few = 0;
    constexpr int requests = 10000;
    std::uint64_t hash = 1;
    for (int i = 0; i < requests; ++i) {
        hash = hash * 6364136223846793005ULL + 1442695040888963407ULL;
        few += serviceFor(split, hash).value() == "few" ? 1 : 0;
    }
    BOOST_TEST(few > 900);
    BOOST_TEST(few < 1100);
    BOOST_TEST(serviceFor(split, ~0ULL).value() == "few");
}

BOOST_AUTO_TEST_CASE(serviceWithZeroWeightGetsNoRequests)
{
    Route split = route("split", "a", "/");
    split.services = {{Base::ServiceId("none"), 0}, {Base::ServiceId("all"), 1}};
    BOOST_TEST(serviceFor(split, 0).value() == "all");
    BOOST_TEST(serviceFor(split, ~0ULL).value() == "all");
}
