#define BOOST_TEST_MODULE ConfigurationRecord
#include <boost/test/unit_test.hpp>

#include "testlog.h"

#include <random>

using namespace Lagoonbank;
using namespace Lagoonbank::Configuration;

namespace {

SnapshotPart makePart()
{
    return {.snapshot = "s",
            .writer = "vm",
            .parts = 1,
            .through = Base::LogOffset(9),
            .hash = UINT64_MAX,
            .objects = {{.kind = Schema::ObjectKind::Policy,
                         .name = "default",
                         .revision = Base::Revision(2),
                         .offset = Base::LogOffset(8),
                         .recordId = "r",
                         .publisher = "ann",
                         .file = "p.yaml",
                         .line = 3,
                         .lines = {{"name", 4}},
                         .body = "{}"}}};
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_CASE(recordsSurviveRoundTrip)
{
    const ChangeRecord change = dataCentreChange("north", 7);
    BOOST_TEST((std::get<ChangeRecord>(decode(encode(change)).value()) == change));
    const SnapshotPart part = makePart();
    BOOST_TEST((std::get<SnapshotPart>(decode(encode(part)).value()) == part));
}

// Programs that don't know the field accept the record, so an invalid time must not make this
// program refuse it: the readers would disagree about the state.
BOOST_AUTO_TEST_CASE(timeIsOptionalAndNeverRefused)
{
    ChangeRecord change = dataCentreChange("north", 7);
    const std::string without = encode(change);
    BOOST_TEST(without.find("\"time\"") == std::string::npos);
    change.time = "2026-12-02T17:48:31.123Z+4";
    const std::string with = encode(change);
    BOOST_TEST((std::get<ChangeRecord>(decode(with).value()) == change));
    const ChangeRecord plain = std::get<ChangeRecord>(decode(without).value());
    for (const std::string &wrong : {std::string("5"), '"' + std::string(65, 'x') + '"'}) {
        const std::string record = replaced(with, '"' + change.time + '"', wrong);
        BOOST_TEST((std::get<ChangeRecord>(decode(record).value()) == plain));
    }
}

BOOST_AUTO_TEST_CASE(rejectsUnreadableRecords)
{
    const std::string change = encode(dataCentreChange("north", 7));
    const std::string part = encode(makePart());
    using Errors::ErrorKind;
    const std::vector<std::pair<std::string, ErrorKind>> cases{
        {"", ErrorKind::BadMessage},
        {"[]", ErrorKind::BadMessage},
        {"{}", ErrorKind::BadMessage},
        {std::string(100000, '['), ErrorKind::BadMessage},
        {std::string(maxRecordBytes + 1, ' '), ErrorKind::BadMessage},
        {replaced(change, "\"version\":1", "\"version\":2"), ErrorKind::WrongVersion},
        {"{\"version\":2}", ErrorKind::WrongVersion},
        {replaced(change, "\"version\":1", "\"version\":0"), ErrorKind::BadMessage},
        {replaced(change, "\"version\":1", "\"version\":\"1\""), ErrorKind::BadMessage},
        {replaced(change, "\"form\":\"change\"", "\"form\":\"chance\""), ErrorKind::BadMessage},
        {replaced(change, "\"kind\":\"data_centre\"", "\"kind\":\"data_center\""),
         ErrorKind::BadMessage},
        {replaced(change, "\"base\":7", "\"base\":-7"), ErrorKind::BadMessage},
        {replaced(change, "\"base\":7", "\"base\":7.5"), ErrorKind::BadMessage},
        {replaced(change, "\"removes\":false", "\"removes\":0"), ErrorKind::BadMessage},
        {replaced(change, "\"region\":3", "\"region\":-3"), ErrorKind::BadMessage},
        {replaced(change, "\"lines\":{", "\"lines\":[{"), ErrorKind::BadMessage},
        {replaced(change, "\"publisher\":", "\"publishr\":"), ErrorKind::BadMessage},
        {replaced(change, "north.yaml", std::string(5000, 'n')), ErrorKind::BadMessage},
        {replaced(change, "\"body\":\"", "\"body\":\"" + std::string(maxBodyBytes, 'n')),
         ErrorKind::BadMessage},
        {replaced(part, "\"parts\":1", "\"parts\":0"), ErrorKind::BadMessage},
        {replaced(part, "\"revision\":2", "\"revision\":null"), ErrorKind::BadMessage},
        {replaced(part, "\"objects\":[", "\"objects\":[3,"), ErrorKind::BadMessage},
    };
    for (const auto &[data, expected] : cases) {
        const Errors::Result<Record> read = decode(data);
        BOOST_REQUIRE_MESSAGE(!read, data.substr(0, 200));
        BOOST_TEST((read.error().kind == expected), data.substr(0, 200));
    }
}

BOOST_AUTO_TEST_CASE(longestBodyFitsARecord)
{
    ChangeRecord change = dataCentreChange("north", 7);
    change.body = std::string(maxBodyBytes, '\x01');
    BOOST_TEST(static_cast<bool>(decode(encode(change))));
    SnapshotPart part = makePart();
    part.objects[0].body = change.body;
    BOOST_TEST(static_cast<bool>(decode(encode(part))));
}

BOOST_AUTO_TEST_CASE(survivesTruncationAndRandomBytes)
{
    std::mt19937 random(11);
    for (const std::string &whole : {encode(dataCentreChange("north", 7)), encode(makePart())}) {
        for (std::size_t size = 0; size < whole.size(); ++size)
            BOOST_TEST(!decode(whole.substr(0, size)));
        for (int round = 0; round < 5000; ++round) {
            std::string changed = whole;
            for (int i = 0; i < 3; ++i)
                changed[random() % changed.size()] = static_cast<char>(random());
            Reducer reducer;
            reducer.recordRead({Base::LogOffset(20), "r", changed});
            BOOST_TEST(reducer.next() == Base::LogOffset(21));
        }
    }
}

BOOST_AUTO_TEST_CASE(survivesRandomBodies)
{
    std::mt19937 random(12);
    const std::string characters = "kind:[{}]&*!|>-\"%@`#,?\n\t a0\\<~";
    State state;
    for (int round = 0; round < 20000; ++round) {
        ChangeRecord change = dataCentreChange("north", 0);
        std::string body = round % 2 ? change.body : std::string();
        const std::size_t length = random() % 40;
        for (std::size_t i = 0; i < length; ++i) {
            const std::size_t at = body.empty() ? 0 : random() % body.size();
            body.insert(at, 1, characters[random() % characters.size()]);
        }
        change.body = body;
        State copy = state;
        const ChangeResult result = copy.apply({Base::LogOffset(1), "r", {}}, change);
        const bool isKnown =
            result.verdict == Verdict::Accepted || result.verdict == Verdict::Invalid;
        BOOST_REQUIRE(isKnown);
    }
    ChangeRecord deep = dataCentreChange("north", 0);
    deep.body = std::string(maxBodyBytes / 2, '[') + std::string(maxBodyBytes / 2, ']');
    BOOST_TEST(state.apply({Base::LogOffset(1), "r", {}}, deep).verdict == Verdict::Invalid);
    // A body that would make the YAML parser loop forever.
    ChangeRecord endless = dataCentreChange("north", 0);
    endless.body = "&@@>>!:~i,";
    BOOST_TEST(state.apply({Base::LogOffset(1), "r", {}}, endless).verdict == Verdict::Invalid);
}
