/// Checks that the documentation matches the code: error kinds, metrics, flags, example objects and
/// the names of programs, commands and test cases.
#define BOOST_TEST_MODULE tst_documents
#include <boost/test/unit_test.hpp>

#include "controller/controllermetrics.h"
#include "errors/errorkind.h"
#include "gateway/gatewaymetrics.h"
#include "metrics/catalogue.h"
#include "operations/commandtable.h"
#include "router/routermetrics.h"
#include "schema/objectreader.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fs = std::filesystem;
using namespace Lagoonbank;

namespace {

using Names = std::set<std::string>;

fs::path sourceDir()
{
    const char *folder = std::getenv("LAGOONBANK_SOURCE_DIR");
    BOOST_REQUIRE_MESSAGE(folder, "LAGOONBANK_SOURCE_DIR is not set; run this test by ctest");
    return folder;
}

std::string readText(const fs::path &file)
{
    std::ifstream stream(file, std::ios::binary);
    BOOST_REQUIRE_MESSAGE(stream, file << " cannot be read");
    return {std::istreambuf_iterator<char>(stream), {}};
}

std::vector<fs::path> filesBelow(const fs::path &folder, const std::string &extension)
{
    std::vector<fs::path> files;
    for (const fs::directory_entry &entry : fs::recursive_directory_iterator(folder)) {
        if (entry.is_regular_file() && entry.path().extension() == extension)
            files.push_back(entry.path());
    }
    return files;
}

/// The README and all pages below docs.
std::vector<fs::path> pages()
{
    std::vector<fs::path> files = filesBelow(sourceDir() / "docs", ".md");
    files.push_back(sourceDir() / "README.md");
    return files;
}

std::vector<std::smatch> matches(const std::string &text, const std::regex &pattern)
{
    return {std::sregex_iterator(text.begin(), text.end(), pattern), std::sregex_iterator()};
}

/// Compares a generated page with \a expected. If they differ, writes the expected page to the
/// working directory of the test, from which it can be copied to docs.
void checkPage(const std::string &page, const std::string &expected)
{
    const bool isCurrent = readText(sourceDir() / "docs" / page) == expected;
    const fs::path copy = fs::current_path() / fs::path(page).filename();
    if (!isCurrent)
        std::ofstream(copy) << expected;
    BOOST_TEST(isCurrent, "docs/" << page << " differs from the code; " << copy << " is current");
}

std::string metricsPage()
{
    return "# Metrics\n\nEach router and controller serves these at `/metrics` of its admin "
           "address, in Prometheus's text format.\n`tst_documents` compares this page with the "
           "code.\n\n## lagoonbank-router\n\n"
        + Metrics::toMarkdown(Router::routerCatalogue()) + "\n## lagoonbank-controller\n\n"
        + Metrics::toMarkdown(Controller::controllerCatalogue())
        + "\n## lagoonbank-platform-router\n\nAt its metrics address.\n\n"
        + Metrics::toMarkdown(Gateway::gatewayCatalogue());
}

struct Flag
{
    std::string name;
    std::string defaultValue;
    std::string help;
};

std::string joinedLiterals(const std::string &text)
{
    static const std::regex literal(R"re("((?:[^"\\]|\\.)*)")re");
    std::string joined;
    for (const std::smatch &match : matches(text, literal))
        joined += match[1];
    return std::regex_replace(joined, std::regex(R"(\\")"), "\"");
}

/// Flags declared in the sources below \a folder.
std::vector<Flag> flagsBelow(const fs::path &folder)
{
    static const std::regex declaration(
        R"re(ABSL_FLAG\(\s*[\w:<>]+,\s*(\w+),\s*("[^"]*"|[^,"]*),\s*((?:"(?:[^"\\]|\\.)*"\s*)+)\))re");
    static const std::regex digitSeparator("'");
    std::vector<Flag> flags;
    for (const fs::path &file : filesBelow(folder, ".cpp")) {
        const std::string text = readText(file);
        for (const std::smatch &match : matches(text, declaration))
            flags.push_back({match[1], std::regex_replace(match[2].str(), digitSeparator, ""),
                             joinedLiterals(match[3])});
    }
    return flags;
}

/// Flags of a program, which are declared in its folder or in a library that it depends on.
std::vector<Flag> flagsOfProgram(const fs::path &folder, const std::string &dependencies)
{
    std::vector<Flag> flags = flagsBelow(folder);
    for (const std::smatch &match : matches(dependencies, std::regex(R"([a-z]+)"))) {
        const fs::path library = sourceDir() / "src" / "libs" / match[0].str();
        if (!fs::is_directory(library))
            continue;
        for (Flag &flag : flagsBelow(library))
            flags.push_back(std::move(flag));
    }
    return flags;
}

/// All programs with their flags, by name.
std::map<std::string, std::vector<Flag>> programs()
{
    static const std::regex target(
        R"((?:lagoonbank_application|add_executable)\((lagoonbank-[\w-]+)([^)]*))");
    std::map<std::string, std::vector<Flag>> found;
    for (const char *folder : {"src/apps", "src/standins", "platform"}) {
        for (const fs::path &file : filesBelow(sourceDir() / folder, ".txt")) {
            const std::string text = readText(file);
            std::smatch match;
            if (std::regex_search(text, match, target))
                found[match[1]] = flagsOfProgram(file.parent_path(), match[2]);
        }
    }
    return found;
}

std::string flagsPage()
{
    std::string page = "# Flags\n\nEvery program also takes `--help`. `tst_documents` compares "
                       "this page with the code.\n";
    for (const auto &[program, flags] : programs()) {
        page += "\n## " + program + "\n\n| flag | default | what |\n|---|---|---|\n";
        for (const Flag &flag : flags)
            page += "| `--" + flag.name + "` | `" + flag.defaultValue + "` | " + flag.help + " |\n";
    }
    return page;
}

/// Names of all metrics in the sources of the libraries.
Names metricsInCode()
{
    static const std::regex name(R"re("(lagoonbank_[a-z_]+)")re");
    Names names;
    for (const fs::path &file : filesBelow(sourceDir() / "src" / "libs", ".cpp")) {
        const std::string text = readText(file);
        for (const std::smatch &match : matches(text, name))
            names.insert(match[1]);
    }
    return names;
}

/// The YAML blocks of a page that are configuration objects, which start with their kind.
std::vector<std::string> objectExamples(const std::string &page)
{
    static const std::regex block("```yaml\n([^`]*)```");
    std::vector<std::string> examples;
    for (const std::smatch &match : matches(page, block)) {
        if (match[1].str().starts_with("kind:"))
            examples.push_back(match[1]);
    }
    return examples;
}

} // namespace

BOOST_AUTO_TEST_CASE(errorTableIsCurrent)
{
    const std::string page = readText(sourceDir() / "docs" / "OPERATIONS.md");
    static const std::regex row(R"(\n\| `(\w+)` \| (\d{3}) \| (no|yes|unknown) \| (yes|no) \|)");
    std::vector<std::string> rows;
    for (const std::smatch &match : matches(page, row))
        rows.push_back(match[1].str() + ' ' + match[2].str() + ' ' + match[3].str() + ' '
                       + match[4].str());
    std::vector<std::string> expected;
    for (const Errors::ErrorRow &error : Errors::errorTable())
        expected.push_back(std::string(error.name) + ' ' + std::to_string(error.httpStatus) + ' '
                           + std::string(Errors::toString(error.ran)) + ' '
                           + (error.retryable ? "yes" : "no"));
    BOOST_TEST(rows == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(metricsPageIsCurrent)
{
    checkPage("reference/metrics.md", metricsPage());
}

BOOST_AUTO_TEST_CASE(metricsNamedInPagesExist)
{
    static const std::regex name(R"(\blagoonbank_[a-z_]+)");
    static const std::regex histogramPart("_(bucket|count|sum)$");
    const Names known = metricsInCode();
    for (const fs::path &file : pages()) {
        const std::string text = readText(file);
        for (const std::smatch &match : matches(text, name)) {
            const std::string found = match[0];
            const std::string withoutSuffix = std::regex_replace(found, histogramPart, "");
            BOOST_TEST((known.contains(found) || known.contains(withoutSuffix)),
                       file << " names " << found << ", which no program has");
        }
    }
}

BOOST_AUTO_TEST_CASE(metricsInCodeAreDocumented)
{
    const std::string page = readText(sourceDir() / "docs" / "reference" / "metrics.md");
    for (const std::string &name : metricsInCode())
        BOOST_TEST(page.find('`' + name + '`') != std::string::npos, name << " is not described");
}

BOOST_AUTO_TEST_CASE(flagsPageIsCurrent)
{
    checkPage("reference/flags.md", flagsPage());
}

BOOST_AUTO_TEST_CASE(commandsNamedInPagesExist)
{
    static const std::regex call(R"(lagoonbank-ctl((?: --[a-z_]+ [^\s`]+)*) ([a-z]+)( [a-z]+)?)");
    for (const fs::path &file : pages()) {
        const std::string text = readText(file);
        for (const std::smatch &match : matches(text, call)) {
            const std::vector<std::string> words{
                match[2], match[3].matched ? match[3].str().substr(1) : std::string()};
            BOOST_TEST(Operations::chooseCommand(words).row != nullptr,
                       file << " names the command " << match[2] << match[3]);
        }
    }
}

BOOST_AUTO_TEST_CASE(flagsNamedInPagesExist)
{
    static const std::regex command(R"((lagoonbank-(?:[a-z]+-)?[a-z]+)\b([^\n`]*))");
    static const std::regex flagName(R"( --([a-z_-]+))");
    const auto known = programs();
    for (const fs::path &file : pages()) {
        const std::string text = readText(file);
        for (const std::smatch &line : matches(text, command)) {
            const auto program = known.find(line[1]);
            const std::string words = line[2];
            for (const std::smatch &match : matches(words, flagName)) {
                Names names{"help"};
                if (program != known.end()) {
                    for (const Flag &flag : program->second)
                        names.insert(flag.name);
                }
                BOOST_TEST(names.contains(match[1]),
                           file << ": " << line[1] << " has no flag --" << match[1]);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(programsNamedInPagesExist)
{
    static const std::regex name(R"(bin/([\w-]+))");
    Names known{"http_proxy", "bm_gossip", "bench-routing-decision", "routing-policies"};
    for (const auto &[program, flags] : programs())
        known.insert(program);
    for (const fs::path &file : pages()) {
        const std::string text = readText(file);
        for (const std::smatch &match : matches(text, name))
            BOOST_TEST(known.contains(match[1]), file << " names the program " << match[1]);
    }
}

BOOST_AUTO_TEST_CASE(exampleObjectsAreValid)
{
    std::size_t count = 0;
    for (const fs::path &file : pages()) {
        for (const std::string &example : objectExamples(readText(file))) {
            ++count;
            const auto read = Schema::readObjects(file.filename(), example);
            BOOST_TEST(read.has_value(),
                       (read ? std::string() : Schema::toText(read.error())) << example);
        }
    }
    BOOST_TEST(count > 0U);
}

BOOST_AUTO_TEST_CASE(testCasesNamedInFailuresPageExist)
{
    static const std::regex reference(R"(`(tst_\w+)/(\w+)`)");
    std::map<std::string, std::string> sources;
    for (const fs::path &file : filesBelow(sourceDir() / "tests", ".cpp"))
        sources[file.stem()] = readText(file);
    const std::string page = readText(sourceDir() / "docs" / "design" / "failures.md");
    const auto named = matches(page, reference);
    BOOST_TEST(!named.empty());
    for (const std::smatch &match : named) {
        const std::regex definition("TEST_CASE\\(" + match[2].str() + "\\b");
        BOOST_TEST(std::regex_search(sources[match[1]], definition),
                   match[1] << " has no case " << match[2]);
    }
}
