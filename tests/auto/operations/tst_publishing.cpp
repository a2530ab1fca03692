#define BOOST_TEST_MODULE Publishing
#include <boost/test/unit_test.hpp>

#include "configuration/record.h"
#include "fakefleet.h"
#include "operations/checkcommand.h"
#include "operations/diffcommand.h"
#include "operations/endpointcommands.h"
#include "operations/historycommand.h"
#include "operations/publishcommand.h"
#include "operations/recordcommand.h"
#include "operations/removecommand.h"
#include "operations/showcommand.h"
#include "timeline/hybridclock.h"

#include <filesystem>
#include <fstream>

using namespace Lagoonbank;
using namespace Lagoonbank::Operations;
using AppendBehaviour = FakeFleet::AppendBehaviour;

namespace {

/// A temporary folder with configuration files.
class Files
{
public:
    Files()
    {
        std::string name = (std::filesystem::temp_directory_path() / "lagoonbank-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        m_folder = name;
    }
    ~Files() { std::filesystem::remove_all(m_folder); }
    Files(const Files &) = delete;
    Files &operator=(const Files &) = delete;

    std::string write(const std::string &name, const std::string &text) const
    {
        const std::filesystem::path path = m_folder / name;
        std::ofstream(path) << text;
        return path.string();
    }
    std::string folder() const { return m_folder.string(); }

private:
    std::filesystem::path m_folder;
};

const std::string north = "kind: data_centre\nname: north\nregion: r\n";
const std::string booking = "kind: service\nname: booking\n";

std::string contract(int requestsPerSecond)
{
    return "kind: contract\nname: hall\nkeys: [" + std::string(64, 'a')
        + "]\nrequests_per_second: " + std::to_string(requestsPerSecond)
        + "\nrequest_burst: 1\ntokens_per_second: 1\ntoken_burst: 1\nconcurrency: 1\n"
          "services: [booking]\n";
}

const std::string endpoint = "kind: endpoint\nname: e\ntype: service\nservice: booking\n"
                             "address: 127.0.0.1:1\ndata_centre: north\nregion: r\ncapacity: 10\n";

struct Fixture : FakeFleet
{
    Report publish(const std::string &path, const std::string &operatorName = "amna",
                   std::optional<Base::Revision> base = {})
    {
        const Context context = this->context(operatorName);
        PublishCommand command(context, {.paths = {path}, .baseRevision = base});
        return run(command);
    }
    /// Publishes the objects that the other files refer to.
    void publishBase()
    {
        files.write("north.yaml", north);
        files.write("booking.yaml", booking);
        BOOST_REQUIRE(publish(files.folder()).status == ExitStatus::Ok);
    }
    std::string stateOf(const Report &report, std::size_t index = 0)
    {
        BOOST_REQUIRE_GT(report.json["changes"].size(), index);
        return report.json["changes"][index]["state"];
    }
    Report history(const std::optional<Configuration::ObjectKey> &key = {})
    {
        const Context context = this->context();
        HistoryCommand command(context, key);
        return run(command);
    }
    Report statusOf(const std::string &record)
    {
        const Context context = this->context();
        RecordCommand command(context, record);
        return run(command);
    }

    Files files;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Publishing, Fixture)

BOOST_AUTO_TEST_CASE(publishesChangedObjectsInReferenceOrder)
{
    files.write("a-contract.yaml", contract(1));
    files.write("b-endpoint.yaml", endpoint);
    publishBase();
    BOOST_TEST(records("configuration").size() == 4U);
    const Report again = publish(files.folder());
    BOOST_CHECK(again.status == ExitStatus::Ok);
    for (std::size_t i = 0; i < 4; ++i)
        BOOST_TEST(stateOf(again, i) == "unchanged");
    files.write("a-contract.yaml", contract(2));
    const Report changed = publish(files.folder());
    BOOST_TEST(contains(changed.text, "accepted contract/hall revision 2 offset 4"));
    BOOST_TEST(records("configuration").size() == 5U);
}

BOOST_AUTO_TEST_CASE(changeTimesFollowTheTimesReadFromTheLog)
{
    publishBase();
    const auto changeOf = [this](std::size_t index) {
        const std::string data = records("configuration").at(index)["data"];
        return std::get<Configuration::ChangeRecord>(Configuration::decode(data).value());
    };
    // The clock of the previous operator was 10 s ahead.
    Configuration::ChangeRecord before = changeOf(0);
    auto time = Timeline::parseHybridTime(before.time);
    BOOST_REQUIRE(time.has_value());
    time->wallMs += 10'000;
    before.time = Timeline::toString(*time);
    records("configuration").at(0)["data"] = Configuration::encode(before);
    const std::size_t next = records("configuration").size();
    publish(files.write("hall.yml", contract(1)));
    const auto ours = Timeline::parseHybridTime(changeOf(next).time);
    BOOST_REQUIRE(ours.has_value());
    BOOST_TEST((*time < *ours));
}

/// Publishes while appends fail, then requests the status of the change and publishes it again.
BOOST_AUTO_TEST_CASE(reportsOutcomeOfFailedAppends)
{
    struct Case
    {
        std::string name;
        std::deque<AppendBehaviour> appendBehaviours;
        std::string state;
        ExitStatus status;
        std::size_t copies;
    };
    const std::vector<Case> cases{
        {"answered", {AppendBehaviour::Answered}, "accepted", ExitStatus::Ok, 1},
        {"the answer is lost after the append",
         {AppendBehaviour::AnswerLost},
         "accepted",
         ExitStatus::Ok,
         1},
        {"the append is lost once", {AppendBehaviour::Lost}, "accepted", ExitStatus::Ok, 1},
        {"rate limited for a while",
         {AppendBehaviour::Limited, AppendBehaviour::Limited},
         "accepted",
         ExitStatus::Ok,
         1},
        {"always lost", std::deque<AppendBehaviour>(100, AppendBehaviour::Lost), "unknown",
         ExitStatus::Unknown, 0},
        {"always rate limited", std::deque<AppendBehaviour>(1000, AppendBehaviour::Limited),
         "not_sent", ExitStatus::Failed, 0},
        {"lost, then rate limited",
         [] {
             std::deque<AppendBehaviour> appendBehaviours(1000, AppendBehaviour::Limited);
             appendBehaviours.front() = AppendBehaviour::Lost;
             return appendBehaviours;
         }(),
         "unknown", ExitStatus::Unknown, 0},
    };
    for (const Case &test : cases) {
        BOOST_TEST_CONTEXT(test.name)
        {
            Fixture fleet;
            const std::string file = fleet.files.write("north.yaml", north);
            fleet.appendBehaviours = test.appendBehaviours;
            const Report report = fleet.publish(file);
            BOOST_TEST(fleet.stateOf(report) == test.state);
            BOOST_CHECK(report.status == test.status);
            BOOST_TEST(fleet.records("configuration").size() == test.copies);
            const std::string record = report.json["changes"][0]["record"];
            if (test.status == ExitStatus::Unknown)
                BOOST_TEST(contains(report.errors, "lagoonbank-ctl status --record " + record));
            fleet.appendBehaviours.clear();
            const bool isThere = test.copies > 0;
            BOOST_CHECK(fleet.statusOf(record).status
                        == (isThere ? ExitStatus::Ok : ExitStatus::NotFound));
            BOOST_TEST(fleet.stateOf(fleet.publish(file)) == (isThere ? "unchanged" : "accepted"));
            BOOST_TEST(fleet.records("configuration").size() == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(rejectsTheSecondOfTwoConcurrentChanges)
{
    publishBase();
    const std::string theirs = files.write("theirs.yml", contract(5));
    const std::string ours = files.write("ours.yml", contract(7));
    beforeAppend = [&] {
        FakeFleet other;
        other.records("configuration") = records("configuration");
        const Context context = other.context("bilal");
        PublishCommand command(context, {.paths = {theirs}, .baseRevision = {}});
        BOOST_REQUIRE(other.run(command).status == ExitStatus::Ok);
        records("configuration") = other.records("configuration");
    };
    const Report report = publish(ours);
    BOOST_CHECK(report.status == ExitStatus::Rejected);
    BOOST_TEST(stateOf(report) == "rejected");
    BOOST_TEST(contains(report.text, "the change by bilal was accepted first"));
    BOOST_CHECK(history().json["changes"].back()["verdict"] == "stale");
}

BOOST_AUTO_TEST_CASE(identicalConcurrentChangesBothSucceed)
{
    publishBase();
    const std::string file = files.write("same.yml", contract(5));
    beforeAppend = [&] {
        FakeFleet other;
        other.records("configuration") = records("configuration");
        const Context context = other.context("bilal");
        PublishCommand command(context, {.paths = {file}, .baseRevision = {}});
        BOOST_REQUIRE(other.run(command).status == ExitStatus::Ok);
        records("configuration") = other.records("configuration");
    };
    const Report report = publish(file);
    BOOST_CHECK(report.status == ExitStatus::Ok);
    BOOST_TEST(stateOf(report) == "unchanged");
    BOOST_TEST(contains(report.text, "bilal published the same change first"));
}

BOOST_AUTO_TEST_CASE(rejectsChangeBasedOnOlderRevision)
{
    publishBase();
    const std::string file = files.write("hall.yml", contract(1));
    publish(file);
    files.write("hall.yml", contract(2));
    BOOST_CHECK(publish(file, "amna", Base::Revision(0)).status == ExitStatus::Rejected);
    BOOST_CHECK(publish(file, "amna", Base::Revision(1)).status == ExitStatus::Ok);
}

BOOST_AUTO_TEST_CASE(sendsNothingForInvalidFilesOrUnavailableLog)
{
    struct Case
    {
        std::string text;
        bool isLogUnavailable;
        ExitStatus status;
        std::string error;
    };
    const std::vector<Case> cases{
        {"kind: data_centre\nname: north\nregio: r\n", false, ExitStatus::Usage, "f.yml:3: "},
        {contract(1), false, ExitStatus::Usage, "f.yml:9: services: there is no service/booking"},
        {north, true, ExitStatus::Failed, "The log could not be read"},
        {"{", false, ExitStatus::Usage, "f.yml:"},
    };
    for (const Case &test : cases) {
        Fixture fleet;
        fleet.isLogUnavailable = test.isLogUnavailable;
        const Report report = fleet.publish(fleet.files.write("f.yml", test.text));
        BOOST_CHECK(report.status == test.status);
        BOOST_TEST(contains(report.errors, test.error), report.errors);
        BOOST_TEST(fleet.records("configuration").empty());
    }
}

BOOST_AUTO_TEST_CASE(checksFilesWithoutThePlatform)
{
    files.write("a.yaml", contract(1));
    const auto check = [this] {
        CheckCommand command({files.folder()});
        return run(command);
    };
    const Report wrong = check();
    BOOST_CHECK(wrong.status == ExitStatus::Usage);
    BOOST_TEST(contains(wrong.errors, "a.yaml:9: services: there is no service/booking"));
    files.write("b.yaml", booking);
    BOOST_CHECK(check().status == ExitStatus::Ok);
}

BOOST_AUTO_TEST_CASE(drainsAndUndrainsAnEndpoint)
{
    publishBase();
    const Context context = this->context();
    EndpointAddCommand add(context, files.write("e.yml", endpoint));
    BOOST_CHECK(run(add).status == ExitStatus::Ok);
    const auto set = [this](const std::string &name, Schema::EndpointState state) {
        const Context context = this->context();
        EndpointStateCommand command(context, name, state);
        return run(command);
    };
    BOOST_TEST(stateOf(set("e", Schema::EndpointState::Draining)) == "accepted");
    BOOST_TEST(stateOf(set("e", Schema::EndpointState::Draining)) == "unchanged");
    BOOST_CHECK(set("f", Schema::EndpointState::Draining).status == ExitStatus::NotFound);

    DiffCommand diff(context, {files.folder() + "/e.yml"});
    BOOST_TEST(contains(run(diff).text, R"(state: "draining" -> "active")"));
    BOOST_TEST(stateOf(set("e", Schema::EndpointState::Active)) == "accepted");
    ShowCommand show(context, {.kind = Schema::ObjectKind::Endpoint, .name = "e"});
    BOOST_TEST(contains(run(show).text, "# revision 3"));
}

BOOST_AUTO_TEST_CASE(removesOnlyUnreferencedObjects)
{
    files.write("hall.yaml", contract(1));
    publishBase();
    const auto remove = [this](Schema::ObjectKind kind, const std::string &name) {
        const Context context = this->context();
        RemoveCommand command(context, {kind, name}, std::nullopt);
        return run(command);
    };
    const Report used = remove(Schema::ObjectKind::Service, "booking");
    BOOST_CHECK(used.status == ExitStatus::Rejected);
    BOOST_TEST(contains(used.text, "names service/booking"));
    BOOST_CHECK(remove(Schema::ObjectKind::Contract, "hall").status == ExitStatus::Ok);
    BOOST_TEST(stateOf(remove(Schema::ObjectKind::Contract, "hall")) == "unchanged");
    BOOST_CHECK(remove(Schema::ObjectKind::Contract, "none").status == ExitStatus::NotFound);
    BOOST_TEST(history(Configuration::ObjectKey{Schema::ObjectKind::Contract, "hall"})
                   .json["changes"]
                   .size()
               == 2U);
}

BOOST_AUTO_TEST_CASE(publishesNothingAfterLogLostItsFirstRecords)
{
    publishBase();
    firstRetainedOffset = 1;
    const Report report = publish(files.write("hall.yml", contract(1)));
    BOOST_CHECK(report.status == ExitStatus::Failed);
    BOOST_TEST(contains(report.errors, "no snapshot"));
    BOOST_TEST(records("configuration").size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
