#define BOOST_TEST_MODULE tst_platformfaults
#include "platformfixture.h"

#include "platformclient/batchappender.h"
#include "platformclient/tailer.h"
#include "platformclient/vmlistclient.h"
#include "platformclient/weightstoreclient.h"

#include <map>

using namespace Lagoonbank;
using namespace std::chrono_literals;
using PlatformClient::AppendOutcome;
using PlatformClient::AppendState;

namespace {

struct Fixture : PlatformFixture
{
    explicit Fixture(const Standins::Platform::Platform::Options &options = {})
        : PlatformFixture(options)
    {
        tailer.setRecordReceived([this](const auto &record) { readIds += record.id; });
        tailer.setGapFound(
            [this](auto from, auto first) { skippedRecords += (first - from).value(); });
    }

    void add(const std::string &id)
    {
        appender.add({id, "data"}, [this, id](const auto &outcome) { outcomes[id] = outcome; });
    }
    AppendOutcome outcomeOf(const std::string &id)
    {
        BOOST_REQUIRE(advanceUntil([&] { return outcomes.contains(id); }));
        return outcomes[id];
    }
    bool readsExactly(const std::string &ids)
    {
        return advanceUntil([&] { return readIds.size() >= ids.size(); }) && readIds == ids;
    }

    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    PlatformClient::Transport transport =
        PlatformClient::httpTransport({.client = &client,
                                       .server = server.address(),
                                       .vm = Base::VmId("vm1"),
                                       .dataCentre = Base::DataCentreId("dha"),
                                       .metered = [this](auto out, auto in) {
                                           sentBytes += out.value();
                                           receivedBytes += in.value();
                                       }});
    PlatformClient::LogClient log{{.transport = transport, .timers = &loop.timers()}};
    PlatformClient::BatchAppender appender{
        {.log = &log, .timers = &loop.timers(), .stream = "claims"}};
    PlatformClient::Tailer tailer{{.log = &log, .timers = &loop.timers(), .stream = "claims"}};
    std::map<std::string, AppendOutcome> outcomes;
    std::string readIds; ///< Ids of all records that the tailer has read, joined.
    std::uint64_t skippedRecords = 0;
};

struct FaultCase
{
    const char *name;
    const char *fault;
    AppendState state;
    bool isReadable; ///< Whether a reader finds the record after the fault is cleared.
};

const FaultCase faultCases[] = {
    {"answer lost after the append", R"({"fault":"lose_append_answers","count":1})",
     AppendState::Appended, true},
    {"answer later than the deadline", R"({"fault":"late_append_answers","ms":60000})",
     AppendState::Appended, true},
    {"slow log", R"({"fault":"log_slow","ms":1500})", AppendState::Appended, true},
    {"short outage", R"({"fault":"log_outage","count":4})", AppendState::Appended, true},
    {"long outage of appends", R"({"fault":"append_outage"})", AppendState::NotAppended, false},
    {"another stream's outage", R"({"fault":"log_outage","stream":"leases"})",
     AppendState::Appended, true},
    {"another data centre's outage", R"({"fault":"log_outage","from":"gulberg"})",
     AppendState::Appended, true},
    {"own VM's outage of appends", R"({"fault":"append_outage","from":"vm1"})",
     AppendState::NotAppended, false},
    {"append rate limited for a while", R"({"fault":"appends_limited","count":3})",
     AppendState::Appended, true},
    {"append lost in transit", R"({"fault":"lose_appends","count":1})", AppendState::Unknown,
     false},
    {"one silent connection", R"({"fault":"silent","stream":"claims","count":1})",
     AppendState::Unknown, false},
    {"data centre cut off", R"({"fault":"silent","from":"dha"})", AppendState::Unknown, false},
};

} // namespace

BOOST_AUTO_TEST_CASE(appendOutcomeIsReportedUnderEachFault)
{
    for (const FaultCase &row : faultCases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Fixture fixture;
            fixture.injectFault(row.fault);
            fixture.add("a");
            const AppendOutcome outcome = fixture.outcomeOf("a");
            BOOST_TEST((outcome.state == row.state));
            fixture.injectFault(R"({"fault":"none"})");
            fixture.add("b");
            BOOST_TEST((fixture.outcomeOf("b").state == AppendState::Appended));
            fixture.tailer.start();
            BOOST_TEST(fixture.readsExactly(row.isReadable ? "ab" : "b"));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(tailerResumesAfterSilentConnectionAndOutage, Fixture)
{
    tailer.start();
    add("a");
    BOOST_TEST(readsExactly("a"));
    // The fault affects the next long poll; the one that is open is still answered.
    injectFault(R"({"fault":"silent","stream":"claims","count":1})");
    BOOST_TEST(advanceUntil([&] { return !tailer.health().isUp; }, 6s));
    injectFault(R"({"fault":"log_outage"})");
    advanceInSteps(5s);
    BOOST_TEST(!tailer.health().isUp);
    injectFault(R"({"fault":"none"})");
    add("b");
    BOOST_TEST(readsExactly("ab"));
    BOOST_TEST(tailer.health().isUp);
    BOOST_TEST(sentBytes > 0);
    BOOST_TEST(receivedBytes > 0);
}

BOOST_AUTO_TEST_CASE(tailerReportsRecordsRemovedByRetention)
{
    Fixture fixture({.retention = {.age = 10s}});
    fixture.tailer.start();
    fixture.add("a");
    BOOST_TEST(fixture.readsExactly("a"));
    fixture.tailer.stop();
    fixture.add("b");
    fixture.outcomeOf("b");
    fixture.advance(11s);
    fixture.add("c");
    fixture.outcomeOf("c");
    fixture.tailer.start();
    BOOST_TEST(fixture.readsExactly("ac"));
    BOOST_TEST(fixture.skippedRecords == 1);
}

BOOST_FIXTURE_TEST_CASE(recordAppendedTwiceIsReadOnce, Fixture)
{
    injectFault(R"({"fault":"lose_append_answers","count":1})");
    add("a");
    BOOST_TEST((outcomeOf("a").state == AppendState::Appended));
    outcomes.clear();
    add("a");
    BOOST_TEST((outcomeOf("a").state == AppendState::Appended));
    add("b");
    tailer.start();
    BOOST_TEST(readsExactly("ab"));
    BOOST_TEST(tailer.position() == Base::LogOffset(3));
}

BOOST_AUTO_TEST_CASE(appendsStayWithinTheLogsRateLimit)
{
    Fixture fixture({.appendsPerSecond = 20});
    for (int i = 0; i < 200; ++i) {
        fixture.add(std::to_string(i));
        fixture.advanceInSteps(10ms);
    }
    BOOST_TEST(fixture.advanceUntil([&] { return fixture.outcomes.size() == 200; }));
    for (const auto &[id, outcome] : fixture.outcomes)
        BOOST_TEST((outcome.state == AppendState::Appended));
}

BOOST_FIXTURE_TEST_CASE(vmListIsKeptDuringOutage, Fixture)
{
    PlatformClient::VmListClient vms({.transport = transport, .timers = &loop.timers()});
    call("PUT", "/vms", R"({"vms":[{"address":"1:1","data_centre":"d","id":"a","state":"live"}]})");
    vms.start();
    BOOST_TEST(advanceUntil([&] { return vms.vms().size() == 1; }));
    injectFault(R"({"fault":"vms_outage"})");
    BOOST_TEST(advanceUntil([&] { return !vms.isUp(); }));
    BOOST_TEST(vms.vms().size() == 1);
    injectFault(R"({"fault":"none"})");
    call("PUT", "/vms", R"({"vms":[]})");
    BOOST_TEST(advanceUntil([&] { return vms.vms().empty(); }));
}

BOOST_FIXTURE_TEST_CASE(weightFetchesRespectTheRateLimit, Fixture)
{
    PlatformClient::WeightStoreClient weights({.transport = transport, .timers = &loop.timers()});
    injectFault(R"({"fault":"weights_outage","count":1})");
    int fetched = 0;
    for (int i = 0; i < 4; ++i) {
        weights.fetch(Base::ModelId("hints"), "7",
                      [&](const auto &result) { fetched += result.has_value() ? 1 : 0; });
    }
    BOOST_TEST(advanceUntil([&] { return fetched == 4; }));
}
