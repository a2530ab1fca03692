#define BOOST_TEST_MODULE answercheck
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "experiment/answercheck.h"
#include "experiment/recordreader.h"

using namespace Lagoonbank;
using namespace Lagoonbank::Experiment;

namespace {

std::string answerOf(const std::string &requestId, std::int64_t from, std::int64_t to)
{
    std::string text;
    for (std::int64_t i = from; i < to; ++i)
        text += expectedToken(requestId, i);
    return text;
}

struct Case
{
    std::string name;
    std::string text;
    AnswerCheck check;
};

std::ostream &operator<<(std::ostream &stream, const Case &item)
{
    return stream << item.name;
}

const std::vector<Case> cases{
    {"whole", answerOf("r1", 0, 5), AnswerCheck::Matches},
    {"answer to another request", answerOf("r2", 0, 5), AnswerCheck::Foreign},
    {"one token of another request", answerOf("r1", 0, 4) + answerOf("r2", 4, 5),
     AnswerCheck::Foreign},
    {"too short", answerOf("r1", 0, 4), AnswerCheck::Cut},
    {"gap", answerOf("r1", 0, 2) + answerOf("r1", 3, 6), AnswerCheck::Cut},
    {"repeated token", answerOf("r1", 0, 3) + answerOf("r1", 2, 5), AnswerCheck::Cut},
    {"empty", "", AnswerCheck::Cut},
};

} // namespace

BOOST_DATA_TEST_CASE(answersAreCompared, boost::unit_test::data::make(cases), item)
{
    BOOST_TEST((checkModelAnswer("r1", item.text, 5).check == item.check));
}

BOOST_AUTO_TEST_CASE(receiptBelongsToTheBody)
{
    const std::string answer = "{\"receipt\":\"" + expectedReceipt("{\"room\":1}") + "\"}";
    BOOST_TEST((checkServiceAnswer("{\"room\":1}", answer) == AnswerCheck::Matches));
    BOOST_TEST((checkServiceAnswer("{\"room\":2}", answer) == AnswerCheck::Foreign));
    BOOST_TEST((checkServiceAnswer("{\"room\":1}", answer.substr(0, 9)) == AnswerCheck::Cut));
}

BOOST_AUTO_TEST_CASE(streamIsReassembledFromAnyChunks)
{
    const std::string stream = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"
                               "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\r\n\r\n"
                               ": comment\n"
                               "data: {\"choices\":[{\"delta\":{\"content\":\"b \"}}]}\n\n"
                               "data: [DONE]\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        StreamReader reader;
        for (std::size_t from = 0; from < stream.size(); from += size)
            reader.add(std::string_view(stream).substr(from, size));
        BOOST_TEST(reader.text() == "a b ");
        BOOST_TEST(reader.deltaCount() == 2);
        BOOST_TEST(reader.isDone());
    }
}

BOOST_AUTO_TEST_CASE(errorInAStreamIsKept)
{
    StreamReader reader;
    reader.add("data: {\"error\":{\"kind\":\"endpoint_broke\",\"ran\":\"yes\"}}\n\n");
    BOOST_TEST(!reader.isDone());
    const auto error = readErrorBody(reader.error());
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST(error->kind == "endpoint_broke");
    BOOST_TEST((error->ran == Errors::Ran::Yes));
}

BOOST_AUTO_TEST_CASE(incompleteRecordsAreRead)
{
    const auto ledger = readLedger(R"({"dropped": 2, "entries": [
        {"request_id": "r1", "state": "whole", "started_ms": 5, "ended_ms": null, "tokens": 3},
        {"state": "whole"}, 7]})");
    BOOST_REQUIRE(ledger.has_value());
    BOOST_TEST(!ledger.value().isComplete);
    BOOST_REQUIRE(ledger.value().entries.size() == 1U);
    BOOST_TEST(ledger.value().entries.front().tokens.value() == 3);
    BOOST_TEST(!ledger.value().entries.front().cachedTokens.has_value());
    BOOST_TEST(readLedger("[]").has_value());
    BOOST_TEST(!readLedger("{").has_value());

    const auto outcomes = readOutcomes(R"([{"request_id": "r1", "ran": "no", "more": {}}])");
    BOOST_REQUIRE(outcomes.has_value());
    BOOST_TEST(outcomes.value().front().ran == "no");
    BOOST_TEST(!readOutcomes("3").has_value());
    BOOST_TEST(readConfigurationOffset(R"({"ready": true, "configuration": {"next": 7}})").value()
               == 7);
    BOOST_TEST(
        !readConfigurationOffset(R"({"ready": false, "configuration": {"next": 7}})").has_value());
    const auto tried = readOutcomes(
        R"({"outcomes": [{"request": "r2", "attempts": [{"endpoint": "a"}, {"endpoint": "b"}]}]})");
    BOOST_TEST(tried.value().front().requestId == "r2");
    BOOST_TEST(tried.value().front().endpoint == "b");

    BOOST_TEST(readLoadReport(R"({"work": 12.5, "capacity": 4})").value().load.capacity == 4);
    BOOST_TEST(!readLoadReport("{}").has_value());
    BOOST_TEST(readChatAnswer(R"({"choices":[{"message":{"content":"x"}}]})").value() == "x");
    BOOST_TEST(!readChatAnswer("{}").has_value());
    BOOST_TEST(!readErrorBody("gateway error").has_value());
}
