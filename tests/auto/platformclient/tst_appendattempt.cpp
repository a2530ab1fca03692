#define BOOST_TEST_MODULE tst_appendattempt
#include <boost/test/unit_test.hpp>

#include "platformclient/appendattempt.h"

using namespace Lagoonbank;
using PlatformClient::AppendAttempt;
using PlatformClient::AppendState;

namespace {

const std::vector<PlatformClient::Record> twoRecords{{"a", "1"}, {"b", "2"}};

struct AppendCase
{
    const char *name;
    Http::CallResult result;
    AppendAttempt::Next next;
    AppendState state;
    bool wasRateLimited = false;
};

const AppendCase appendCases[] = {
    {"appended",
     {.mayHaveBeenSent = true, .status = 200, .body = R"({"offsets":[5,6],"more":1})"},
     AppendAttempt::Next::Done,
     AppendState::Appended},
    {"rate limited",
     {.mayHaveBeenSent = true, .status = 429},
     AppendAttempt::Next::Done,
     AppendState::NotAppended,
     true},
    {"outage",
     {.mayHaveBeenSent = true, .status = 503},
     AppendAttempt::Next::Done,
     AppendState::NotAppended},
    {"not connected",
     {.end = Http::CallEnd::NotConnected},
     AppendAttempt::Next::Done,
     AppendState::NotAppended},
    {"timed out before sending",
     {.end = Http::CallEnd::TimedOut},
     AppendAttempt::Next::Done,
     AppendState::NotAppended},
    {"silent",
     {.end = Http::CallEnd::TimedOut, .mayHaveBeenSent = true},
     AppendAttempt::Next::ReadBack,
     AppendState::Unknown},
    {"broken",
     {.end = Http::CallEnd::Broken, .mayHaveBeenSent = true},
     AppendAttempt::Next::ReadBack,
     AppendState::Unknown},
    {"broken after a refusal's head",
     {.end = Http::CallEnd::Broken, .mayHaveBeenSent = true, .status = 503},
     AppendAttempt::Next::ReadBack,
     AppendState::Unknown},
    {"server error",
     {.mayHaveBeenSent = true, .status = 500},
     AppendAttempt::Next::ReadBack,
     AppendState::Unknown},
    {"malformed answer",
     {.mayHaveBeenSent = true, .status = 200, .body = "{\"offsets\":[5"},
     AppendAttempt::Next::ReadBack,
     AppendState::Unknown},
    {"too few offsets",
     {.mayHaveBeenSent = true, .status = 200, .body = R"({"offsets":[5]})"},
     AppendAttempt::Next::ReadBack,
     AppendState::Unknown},
    {"decreasing offsets",
     {.mayHaveBeenSent = true, .status = 200, .body = R"({"offsets":[5,4]})"},
     AppendAttempt::Next::ReadBack,
     AppendState::Unknown},
};

} // namespace

BOOST_AUTO_TEST_CASE(distinguishesRefusalFromLostAnswer)
{
    for (const AppendCase &row : appendCases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            AppendAttempt attempt(twoRecords, Base::LogOffset(3));
            BOOST_TEST((attempt.appendEnded(row.result) == row.next));
            for (const auto &outcome : attempt.outcomes())
                BOOST_TEST((outcome.state == row.state));
            BOOST_TEST(attempt.wasRateLimited() == row.wasRateLimited);
        }
    }
}

BOOST_AUTO_TEST_CASE(findsFirstCopyOfRecordsAcrossPages)
{
    AppendAttempt attempt(twoRecords, Base::LogOffset(3));
    attempt.appendEnded({.end = Http::CallEnd::Broken, .mayHaveBeenSent = true});
    const PlatformClient::ReadPage first{
        Base::LogOffset(3),
        Base::LogOffset(5),
        {{Base::LogOffset(3), "x", ""}, {Base::LogOffset(4), "a", ""}}};
    BOOST_TEST((attempt.pageRead(first) == AppendAttempt::Next::ReadBack));
    BOOST_TEST(attempt.readFrom() == Base::LogOffset(5));
    const PlatformClient::ReadPage second{
        Base::LogOffset(5),
        Base::LogOffset(7),
        {{Base::LogOffset(5), "a", ""}, {Base::LogOffset(6), "b", ""}}};
    BOOST_TEST((attempt.pageRead(second) == AppendAttempt::Next::Done));
    BOOST_TEST(attempt.outcomes()[0].offset == Base::LogOffset(4));
    BOOST_TEST(attempt.outcomes()[1].offset == Base::LogOffset(6));
}
