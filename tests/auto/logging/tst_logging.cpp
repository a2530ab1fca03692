#define BOOST_TEST_MODULE tst_logging
#include "logging/logger.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <sstream>
#include <string>

using namespace Lagoonbank;

namespace {

struct Fixture
{
    ~Fixture() { Logging::configure({}); }
    std::string logged(Logging::Options options)
    {
        options.stream = &stream;
        Logging::configure(options);
        logger.debug("Tried {}.", 1);
        logger.info("Listening on {} for {}.", "127.0.0.1:80", 3);
        logger.warning("Split\nline");
        logger.error("Stopped.");
        return stream.str();
    }
    std::ostringstream stream;
    Logging::Logger logger{"router"};
};

std::size_t countLines(const std::string &text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

BOOST_FIXTURE_TEST_CASE(writesLevelPartAndMessage, Fixture)
{
    const std::string text = logged({});
    BOOST_TEST(countLines(text) == 3U);
    BOOST_TEST(text.find("Z info router: Listening on 127.0.0.1:80 for 3.\n") == 23U);
    BOOST_TEST(text.find("Z warning router: Split line\n") != std::string::npos);
    BOOST_TEST(text.find("Z error router: Stopped.\n") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(skipsLinesBelowLevel, Fixture)
{
    BOOST_TEST(countLines(logged({.level = Logging::Level::Debug})) == 4U);
    stream.str({});
    BOOST_TEST(countLines(logged({.level = Logging::Level::Error})) == 1U);
}

BOOST_FIXTURE_TEST_CASE(writesJsonObjects, Fixture)
{
    std::istringstream lines(logged({.json = true}));
    std::string line;
    std::getline(lines, line);
    const auto object = nlohmann::json::parse(line);
    BOOST_TEST(object.at("level") == "info");
    BOOST_TEST(object.at("part") == "router");
    BOOST_TEST(object.at("text") == "Listening on 127.0.0.1:80 for 3.");
    BOOST_TEST(object.contains("time"));
    std::getline(lines, line);
    BOOST_TEST(nlohmann::json::parse(line).at("text") == "Split\nline");
}

BOOST_AUTO_TEST_CASE(parsesLevels)
{
    BOOST_TEST((Logging::parseLevel("warning").value() == Logging::Level::Warning));
    BOOST_TEST(!Logging::parseLevel("loud"));
}
