#define BOOST_TEST_MODULE CommandLine
#include <boost/test/unit_test.hpp>

#include "operations/commandline.h"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace Lagoonbank;
using namespace Lagoonbank::Operations;

namespace {

std::string page()
{
    const char *folder = std::getenv("LAGOONBANK_SOURCE_DIR");
    BOOST_REQUIRE(folder != nullptr);
    std::ifstream file(std::string(folder) + "/docs/reference/ctl.md");
    BOOST_REQUIRE(file.good());
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the first cells of the table rows under a heading of the reference page.
std::set<std::string> documented(const std::string &heading)
{
    const std::string text = page();
    const std::size_t begin = text.find("\n## " + heading + "\n");
    BOOST_REQUIRE_MESSAGE(begin != std::string::npos, heading);
    const std::string part = text.substr(begin + 1, text.find("\n## ", begin + 1) - begin - 1);
    std::set<std::string> cells;
    const std::regex row(R"(\n\| `([^`]+)` \|)");
    for (std::sregex_iterator it(part.begin(), part.end(), row), end; it != end; ++it)
        cells.insert((*it)[1].str());
    return cells;
}

std::string synopsis(const CommandRow &row)
{
    std::string text(row.name);
    if (!row.operandSynopsis.empty())
        absl::StrAppend(&text, " ", std::string(row.operandSynopsis));
    return text;
}

ExitStatus statusOf(const std::vector<std::string> &words)
{
    const absl::FlagSaver saver;
    const ParsedCommandLine parsed = parseCommandLine(words);
    if (const auto *report = std::get_if<Report>(&parsed))
        return report->status;
    const auto &line = std::get<CommandLine>(parsed);
    const Runtime::ManualClock clock;
    Runtime::TimerQueue timers(clock);
    const Context context{.timers = &timers};
    const CommandOrError commandOrError = makeCommand(*line.row, context, line.arguments);
    const auto *report = std::get_if<Report>(&commandOrError);
    return report ? report->status : ExitStatus::Ok;
}

} // namespace

BOOST_AUTO_TEST_CASE(referencePageListsExactlyTheCommands)
{
    std::set<std::string> commands;
    for (const CommandRow &row : commandTable())
        commands.insert(synopsis(row));
    const std::set<std::string> cells = documented("Commands");
    BOOST_TEST(commands == cells, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(commandTableAndReferencePageListExactlyTheFlags)
{
    std::set<std::string> inTable;
    for (const std::string_view name : flagNames())
        inTable.insert(absl::StrCat("--", std::string(name)));
    std::set<std::string> inProgram;
    for (const auto &[name, flag] : absl::GetAllFlags()) {
        if (absl::EndsWith(flag->Filename(), "operations/commandline.cpp"))
            inProgram.insert(absl::StrCat("--", name));
    }
    BOOST_TEST(inTable == inProgram, boost::test_tools::per_element());
    BOOST_TEST(inTable == documented("Flags"), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(referencePageListsTheFlagsOfEachCommand)
{
    const std::string text = page();
    for (const CommandRow &row : commandTable()) {
        const std::size_t begin = text.find("| `" + synopsis(row) + "` |");
        BOOST_REQUIRE(begin != std::string::npos);
        const std::string line = text.substr(begin, text.find('\n', begin) - begin);
        for (const std::string_view flag : row.flags) {
            const std::string cell = absl::StrCat("`--", std::string(flag), "`");
            BOOST_TEST(absl::StrContains(line, cell), synopsis(row) << " lacks " << cell);
        }
    }
}

BOOST_AUTO_TEST_CASE(referencePageListsTheExitStatuses)
{
    const std::set<std::string> numbers{"0", "1", "2", "3", "4", "5"};
    BOOST_TEST(documented("Exit statuses") == numbers, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(rejectsInvalidCommandLines)
{
    const std::vector<std::vector<std::string>> wrong{
        {},
        {"bogus"},
        {"endpoint"},
        {"endpoint", "paint"},
        {"publish"},
        {"publish", "x"}, // no platform
        {"check"},
        {"check", "x", "--follow"},
        {"check", "x", "--output", "xml"},
        {"check", "x", "--timeout", "soon"},
        {"check", "x", "--platform", "nowhere"},
        {"check", "x", "--admin", "1.2.3.4:5,nowhere"},
        {"check", "x", "--output"},
        {"check", "x", "--flagfile=/etc/passwd"},
        {"check", "x", "--unknown"},
        {"check", "x", "--settings=/nowhere/ctl.yaml"},
        {"request"},
        {"request", "a", "--workspace=w", "--key=k"},
        {"request", "--workspace=w"},
        {"timeline", "--format=pdf"},
        {"timeline", "--since=10"},
        {"timeline", "--follow", "--format=html"},
        {"timeline", "--follow=perhaps"},
    };
    for (const std::vector<std::string> &words : wrong) {
        std::string line;
        for (const std::string &word : words)
            line += word + " ";
        BOOST_CHECK_MESSAGE(statusOf(words) == ExitStatus::Usage, line);
    }
}

BOOST_AUTO_TEST_CASE(acceptsFlagsInAnyPosition)
{
    BOOST_CHECK(statusOf({"--output=json", "check", "x", "--timeout", "5s"}) == ExitStatus::Ok);
    BOOST_CHECK(statusOf({"request", "--key", "k", "--workspace", "w"}) == ExitStatus::Ok);
    BOOST_CHECK(statusOf({"timeline", "--follow", "--format", "json"}) == ExitStatus::Ok);
    BOOST_CHECK(statusOf({"--help"}) == ExitStatus::Ok);
}

BOOST_AUTO_TEST_CASE(parsesPeriods)
{
    BOOST_CHECK(parsePeriod("90s") == std::chrono::seconds(90));
    BOOST_CHECK(parsePeriod("2h") == std::chrono::hours(2));
    for (const char *wrong : {"", "s", "10", "-1s", "1.5m", "4000000000d"})
        BOOST_TEST(!parsePeriod(wrong), wrong);
}
