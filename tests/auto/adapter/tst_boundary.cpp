/// Checks that the platform's names are used only in platform/, and that platform/ contains no
/// decisions.
#define BOOST_TEST_MODULE tst_boundary
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <string>
#include <vector>

namespace fs = std::filesystem;

namespace {

fs::path sourceDir()
{
    const char *folder = std::getenv("LAGOONBANK_SOURCE_DIR");
    BOOST_REQUIRE_MESSAGE(folder, "LAGOONBANK_SOURCE_DIR is not set; run this test by ctest");
    return folder;
}

/// Returns file and line of each match of \a pattern in the C++ files below \a folder.
std::vector<std::string> findings(const std::string &folder, const std::regex &pattern)
{
    std::vector<std::string> found;
    for (const fs::directory_entry &entry :
         fs::recursive_directory_iterator(sourceDir() / folder)) {
        const fs::path extension = entry.path().extension();
        if (extension != ".cpp" && extension != ".h")
            continue;
        std::ifstream stream(entry.path());
        int number = 0;
        for (std::string line; std::getline(stream, line);) {
            ++number;
            if (std::regex_search(line, pattern))
                found.push_back(entry.path().filename().string() + ":" + std::to_string(number));
        }
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_CASE(librariesContainNoPlatformNames)
{
    const std::regex names("lagoonbank-(attempt|deadline|prompt|token-count|model|tenant|expect|"
                           "server-seal|not-executed|engine-load|instance|request-priority|kv|pin|"
                           "weight)|kv-(fetch|from)|keyed\\.(op|servers|status)|log-(append|read|"
                           "newest|join)|session_affinity|traffic_split|"
                           "target_latency_ms|LAGOONBANK_NODE_FILE",
                           std::regex::icase);
    for (const std::string &place : findings("src", names))
        BOOST_ERROR(place + " uses a name of the platform; it belongs into platform/");
}

BOOST_AUTO_TEST_CASE(adapterContainsNoDecisions)
{
    // Names that indicate decision logic: suspicion of endpoints, retry budgets, loads, random
    // numbers and rendezvous hashing. Such logic must not be in platform/.
    const std::regex deciding("suspicion|retryBudget\\(\\)|\\.load\\(|std::mt19937|rendezvous",
                              std::regex::icase);
    for (const std::string &place : findings("platform", deciding))
        BOOST_ERROR(place + " makes a decision; it belongs into src/libs");
}
