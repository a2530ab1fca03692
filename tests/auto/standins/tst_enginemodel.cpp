#define BOOST_TEST_MODULE EngineModel
#include "standins/engine/enginemodel.h"
#include "standins/engine/orders.h"
#include "standins/engine/tokentext.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Standins;
using std::chrono::milliseconds;

namespace {

constexpr Base::Duration step = milliseconds(10);

std::string words(int count)
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        text += 'w';
        text += std::to_string(i);
        text += ' ';
    }
    return text;
}

Generation generation(const std::string &id, int promptTokens, int maxTokens, int priority = 0)
{
    return {.requestId = Base::RequestId(id),
            .chat = Base::ChatId("chat-" + id),
            .prompt = words(promptTokens),
            .maxTokens = Base::Tokens(maxTokens),
            .priority = priority};
}

struct Fixture
{
    explicit Fixture(EngineModel::Options options = {})
        : model(withFixtureClock(options))
    { }

    EngineModel::Options withFixtureClock(EngineModel::Options options)
    {
        options.clock = &clock;
        options.step = step;
        options.prefillTokensPerMs = 10;
        return options;
    }

    void runSteps(int count)
    {
        for (int i = 0; i < count; ++i) {
            clock.advance(step);
            model.advance();
        }
    }

    std::int64_t produced(const char *id) const
    {
        return model.progressOf(*model.find(Base::RequestId(id)))->produced.value();
    }
    RunState state(const char *id) const
    {
        return model.progressOf(*model.find(Base::RequestId(id)))->state;
    }

    Runtime::ManualClock clock;
    EngineModel model;
};

} // namespace

BOOST_AUTO_TEST_CASE(requestsBeyondTheBatchWait)
{
    Fixture f({.maxBatchRequests = 2});
    for (const char *id : {"a", "b", "c"})
        f.model.submit(generation(id, 0, 3));
    f.runSteps(2);
    BOOST_TEST(f.produced("a") == 2);
    BOOST_TEST(f.produced("b") == 2);
    BOOST_TEST(f.produced("c") == 0);
    BOOST_TEST(f.model.load().load.running == 2U);
    BOOST_TEST(f.model.load().load.queued == 1U);
    f.runSteps(2);
    BOOST_TEST((f.state("a") == RunState::Whole));
    BOOST_TEST(f.produced("c") == 1);
    f.runSteps(2);
    BOOST_TEST(f.model.isIdle());
    BOOST_TEST(!f.model.nextStepTime().has_value());
    BOOST_TEST(f.model.load().load.work.value() == 0);
}

BOOST_AUTO_TEST_CASE(urgentRequestsRunFirst)
{
    Fixture f({.maxBatchRequests = 1});
    f.model.submit(generation("first", 0, 1, 5));
    f.model.submit(generation("low", 0, 1, 5));
    f.model.submit(generation("high-1", 0, 1, 0));
    f.model.submit(generation("high-2", 0, 1, 0));
    std::vector<std::string> order;
    f.model.progressed = [&](RunNumber run) {
        order.push_back(f.model.progressOf(run)->requestId.value());
    };
    f.runSteps(4);
    const std::vector<std::string> expected{"high-1", "high-2", "first", "low"};
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(promptIsReadAtPrefillRateAndThenCached)
{
    // At 100 tokens per step, the third step reads the last of 250 tokens and also produces the
    // first token.
    Fixture f;
    f.model.submit(generation("cold", 250, 2));
    BOOST_TEST(f.model.load().load.work.value() == 250 + 16);
    f.runSteps(2);
    BOOST_TEST(f.produced("cold") == 0);
    BOOST_TEST(f.model.load().load.work.value() == 50 + 16);
    f.runSteps(1);
    BOOST_TEST(f.produced("cold") == 1);
    f.runSteps(1);
    f.model.submit(generation("warm", 250, 2));
    f.runSteps(1);
    BOOST_TEST(f.produced("warm") == 1);
    BOOST_TEST(f.model.progressOf(*f.model.find(Base::RequestId("warm")))->cachedTokens.value()
               == 240);
}

BOOST_AUTO_TEST_CASE(answerIsPartOfTheCachedPrefix)
{
    Fixture f;
    f.model.submit(generation("one", 31, 32));
    f.runSteps(33);
    std::string next = words(31) + "\nassistant\n";
    for (int i = 0; i < 32; ++i)
        next += tokenText(shortHash(Base::RequestId("one")), i);
    f.model.submit({.requestId = Base::RequestId("two"),
                    .prompt = next + "\nuser\nand now",
                    .maxTokens = Base::Tokens(1)});
    f.runSteps(1);
    BOOST_TEST(f.model.progressOf(*f.model.find(Base::RequestId("two")))->cachedTokens.value()
               == 64);
}

BOOST_AUTO_TEST_CASE(loadReportsLag)
{
    Fixture f({.loadLag = milliseconds(25)});
    f.runSteps(10);
    f.model.submit(generation("a", 0, 100));
    BOOST_TEST(f.model.load().load.queued == 0U);
    BOOST_TEST((f.model.load().age == milliseconds(25)));
    f.runSteps(2);
    BOOST_TEST(f.model.load().load.work.value() == 0);
    f.runSteps(1);
    BOOST_TEST(f.model.load().load.work.value() == 800);
    f.runSteps(1);
    BOOST_TEST(f.model.load().load.work.value() == 792);
}

BOOST_AUTO_TEST_CASE(cancelStopsQueuedAndRunningRuns)
{
    Fixture f({.maxBatchRequests = 1});
    f.model.submit(generation("runs", 0, 100));
    f.model.submit(generation("waits", 0, 100));
    f.runSteps(3);
    BOOST_TEST(f.model.cancel(Base::RequestId("waits")));
    BOOST_TEST(f.model.cancel(Base::RequestId("runs")));
    BOOST_TEST(!f.model.cancel(Base::RequestId("runs")));
    BOOST_TEST(!f.model.cancel(Base::RequestId("never")));
    BOOST_TEST(f.model.isIdle());
    BOOST_TEST(f.model.load().load.work.value() == 0);
    const nlohmann::json entries = f.model.ledger().toJson()["entries"];
    BOOST_TEST(entries[0]["state"] == "cancelled");
    BOOST_TEST(entries[0]["tokens"] == 3);
    BOOST_TEST(entries[1]["state"] == "cancelled");
    BOOST_TEST(entries[1]["tokens"] == 0);
}

BOOST_AUTO_TEST_CASE(endedRunsAreKeptForTheRetentionTime)
{
    Fixture f({.endedRunRetention = milliseconds(100)});
    f.model.submit(generation("a", 0, 1));
    f.runSteps(1);
    f.runSteps(10);
    BOOST_TEST(f.model.find(Base::RequestId("a")).has_value());
    f.runSteps(1);
    BOOST_TEST(!f.model.find(Base::RequestId("a")).has_value());
}

BOOST_AUTO_TEST_CASE(crashedRunIsFoundOnlyInTheLedger)
{
    Fixture f;
    const auto run = f.model.submit(generation("a", 0, 100));
    f.runSteps(2);
    f.model.crash(*run);
    BOOST_TEST(!f.model.find(Base::RequestId("a")).has_value());
    BOOST_TEST(f.model.isIdle());
    BOOST_TEST(f.model.ledger().toJson()["entries"][0]["state"] == "crashed");
}

BOOST_AUTO_TEST_CASE(fullQueueRejectsRequests)
{
    Fixture f({.maxBatchRequests = 1, .maxQueuedRequests = 2});
    BOOST_TEST(f.model.submit(generation("a", 0, 1)).has_value());
    BOOST_TEST(f.model.submit(generation("b", 0, 1)).has_value());
    BOOST_TEST(!f.model.submit(generation("c", 0, 1)).has_value());
    BOOST_TEST(f.model.ledger().size() == 2U);
}

BOOST_AUTO_TEST_CASE(missedStepsAreCaughtUpWithinALimit)
{
    Fixture f;
    f.model.submit(generation("a", 0, 1000));
    f.clock.advance(5 * step);
    f.model.advance();
    BOOST_TEST(f.produced("a") == 5);
    f.clock.advance(500 * step);
    f.model.advance();
    BOOST_TEST(f.produced("a") == 25);
}

BOOST_AUTO_TEST_CASE(slowFactorStretchesSteps)
{
    Fixture f;
    f.model.setSlowFactor(4);
    f.model.submit(generation("a", 0, 1000));
    f.runSteps(8);
    BOOST_TEST(f.produced("a") == 2);
}

BOOST_AUTO_TEST_CASE(olderFencingNumberIsRejectedIfChecked)
{
    for (const bool check : {true, false}) {
        Runtime::ManualClock clock;
        Orders orders({.clock = &clock, .checkFencing = check});
        BOOST_TEST(orders.apply({.fencing = Base::FencingNumber(7), .role = "new"}));
        BOOST_TEST(orders.apply({.fencing = Base::FencingNumber(7), .draining = true}));
        BOOST_TEST(orders.apply({.fencing = Base::FencingNumber(6), .role = "old"}) == !check);
        BOOST_TEST(orders.settings().role == (check ? "new" : "old"));
        BOOST_TEST(orders.settings().draining);
        BOOST_TEST(orders.fencing().value() == 7U);
        BOOST_TEST(orders.records().back().stale);
        BOOST_TEST(orders.records().back().applied == !check);
    }
}

BOOST_AUTO_TEST_CASE(onlyOtherWeightsTakeTimeToLoad)
{
    Runtime::ManualClock clock;
    Orders orders(
        {.clock = &clock, .loadTime = milliseconds(100), .initial = {.model = Base::ModelId("m")}});
    BOOST_TEST(!orders.isLoading());
    orders.apply({.model = Base::ModelId("m"), .role = "decode"});
    BOOST_TEST(!orders.isLoading());
    orders.apply({.model = Base::ModelId("n")});
    BOOST_TEST(orders.isLoading());
    clock.advance(milliseconds(100));
    BOOST_TEST(!orders.isLoading());
}
