#define BOOST_TEST_MODULE PeerCodec
#include "membership/peercodec.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

using namespace Lagoonbank::Membership;

namespace {

const std::string oldKey = "old-key-0123456789";
const std::string newKey = "new-key-0123456789";

PeerCodec makeCodec(const std::string &id, std::vector<std::string> keys = {oldKey},
                    std::uint64_t incarnation = 5)
{
    return PeerCodec({.id = id, .incarnation = incarnation, .keys = std::move(keys)});
}

std::string flipped(std::string text, std::size_t at)
{
    text.at(at) = static_cast<char>(text.at(at) ^ 1);
    return text;
}

PeerMessage fullMessage()
{
    return {.type = MessageType::Ack,
            .time = {.wallMs = 1'796'233'711'123, .counter = 300},
            .probe = 77,
            .target = "vm-2/router",
            .ownHash = 1,
            .fleetHash = 2,
            .knownIncarnation = 3,
            .configuration = {.offset = 900, .hash = 0xabcdef},
            .leaving = {{.endpoint = "engine-1", .incarnation = 4, .ageSeconds = 2}},
            .members = {{.id = "vm-1/router",
                         .role = MemberRole::Controller,
                         .status = MemberStatus::Suspect,
                         .dataCentre = "gulberg",
                         .region = "lahore",
                         .ip = 0x0a000001,
                         .port = 7000,
                         .incarnation = 1ULL << 40}},
            .contacts = {{.dataCentre = 5, .ageMs = 10}, {.dataCentre = 6, .ageMs = 20}},
            .loads = {{.endpoint = 1, .work = 2, .ageMs = 3, .sentSince = 4}},
            .demands = {{.origin = 1,
                         .version = 2,
                         .ageMs = 3,
                         .workspace = "front-desk",
                         .bytes = std::string("a\0b", 3)}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(messageRoundTrips)
{
    const PeerMessage message = fullMessage();
    const std::string body = encodeMessage(message).value();
    BOOST_TEST(body.size() == encodedSize(message));
    BOOST_TEST((decodeMessage(body).value() == message));
    PeerCodec codec = makeCodec("vm-1/router");
    BOOST_TEST(codec.seal(body).size() == body.size() + sealSize("vm-1/router"));
}

struct DropRow
{
    const char *name;
    std::function<std::string(std::string sealed)> change;
    DropReason reason;
};

BOOST_AUTO_TEST_CASE(badDatagramsAreDroppedAndCounted)
{
    const std::vector<DropRow> rows{
        {"empty", [](const std::string &) { return std::string(); }, DropReason::Truncated},
        {"header only", [](const std::string &s) { return s.substr(0, 20); },
         DropReason::Truncated},
        {"id longer than the datagram",
         [](std::string s) { return s.replace(5, 1, 1, 64).substr(0, 60); }, DropReason::Truncated},
        {"id too long", [](std::string s) { return s.replace(5, 1, 1, static_cast<char>(255)); },
         DropReason::Truncated},
        {"last byte missing",
         [](std::string s) {
             s.pop_back();
             return s;
         },
         DropReason::WrongKey},
        {"byte added", [](const std::string &s) { return s + 'x'; }, DropReason::WrongKey},
        {"oversized", [](const std::string &s) { return s + std::string(maxDatagramBytes, 'x'); },
         DropReason::Oversized},
        {"other magic", [](std::string s) { return s.replace(0, 1, 1, 'X'); },
         DropReason::WrongMagic},
        {"newer version", [](std::string s) { return s.replace(4, 1, 1, 2); },
         DropReason::WrongVersion},
        {"version 0", [](std::string s) { return s.replace(4, 1, 1, 0); },
         DropReason::WrongVersion},
        {"changed body", [](const std::string &s) { return flipped(s, 60); }, DropReason::WrongKey},
        {"changed seal", [](const std::string &s) { return flipped(s, s.size() - 1); },
         DropReason::WrongKey},
        {"changed incarnation", [](const std::string &s) { return flipped(s, 17); },
         DropReason::WrongKey},
        {"other key",
         [](const std::string &) { return makeCodec("vm-1/router", {newKey}).seal("x"); },
         DropReason::WrongKey},
        {"own message", [](const std::string &) { return makeCodec("vm-2/router").seal("x"); },
         DropReason::OwnMessage},
    };
    for (const DropRow &row : rows) {
        PeerCodec sender = makeCodec("vm-1/router");
        PeerCodec receiver = makeCodec("vm-2/router");
        const std::string sealed = sender.seal(encodeMessage(fullMessage()).value());
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST(!receiver.open(row.change(sealed)));
            BOOST_TEST(receiver.drops(row.reason) == 1U);
            BOOST_TEST(receiver.open(sealed).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(replaysAreDropped)
{
    PeerCodec sender = makeCodec("vm-1/router");
    PeerCodec receiver = makeCodec("vm-2/router");
    std::vector<std::string> sealed;
    sealed.reserve(1100);
    for (int i = 0; i < 1100; ++i)
        sealed.push_back(sender.seal("x"));
    BOOST_TEST(receiver.open(sealed[80]).has_value());
    BOOST_TEST(!receiver.open(sealed[80]));
    BOOST_TEST(receiver.open(sealed[79]).has_value()); // Reordered, not replayed.
    BOOST_TEST(!receiver.open(sealed[79]));
    BOOST_TEST(receiver.open(sealed[1099]).has_value());
    BOOST_TEST(!receiver.open(sealed[5])); // Older than the replay window, so counted as replayed.
    BOOST_TEST(receiver.drops(DropReason::Replayed) == 3U);
}

BOOST_AUTO_TEST_CASE(oldIncarnationIsReported)
{
    PeerCodec older = makeCodec("vm-1/router", {oldKey}, 5);
    PeerCodec newer = makeCodec("vm-1/router", {oldKey}, 6);
    PeerCodec receiver = makeCodec("vm-2/router");
    BOOST_TEST(receiver.open(older.seal("x")).has_value());
    BOOST_TEST(receiver.open(newer.seal("x")).has_value());
    std::optional<Sender> outdated;
    BOOST_TEST(!receiver.open(older.seal("x"), &outdated));
    BOOST_REQUIRE(outdated);
    BOOST_TEST(outdated->incarnation == 5U);
    BOOST_TEST(receiver.drops(DropReason::OldIncarnation) == 1U);
}

// At every step of a key rotation, members that have made the step and members that have not can
// open each other's messages.
BOOST_AUTO_TEST_CASE(keysRotate)
{
    struct Row
    {
        std::vector<std::string> sender;
        std::vector<std::string> receiver;
        bool isOpened;
    };
    const std::vector<Row> rows{
        {{oldKey}, {oldKey, newKey}, true},         {{oldKey, newKey}, {oldKey}, true},
        {{oldKey, newKey}, {newKey, oldKey}, true}, {{newKey, oldKey}, {oldKey, newKey}, true},
        {{newKey}, {newKey, oldKey}, true},         {{newKey}, {oldKey}, false},
    };
    for (const Row &row : rows) {
        PeerCodec sender = makeCodec("vm-1/router", row.sender);
        PeerCodec receiver = makeCodec("vm-2/router", row.receiver);
        BOOST_TEST(receiver.open(sender.seal("x")).has_value() == row.isOpened);
    }
    BOOST_TEST(!PeerCodec::checkKeys({}).has_value());
    BOOST_TEST(!PeerCodec::checkKeys({"short"}).has_value());
    BOOST_TEST(!PeerCodec::checkKeys({oldKey, newKey, oldKey}).has_value());
    BOOST_TEST(PeerCodec::checkKeys({oldKey, newKey}).has_value());
}

// Malformed bodies under a valid seal, as a faulty peer may send them, are errors and never crash.
BOOST_AUTO_TEST_CASE(malformedBodiesAreErrors)
{
    const std::string good = encodeMessage(fullMessage()).value();
    for (std::size_t size = 0; size < good.size(); ++size)
        BOOST_TEST(!decodeMessage(std::string_view(good).substr(0, size)).has_value());
    BOOST_TEST(!decodeMessage(good + 'x').has_value());
    std::mt19937_64 random(11);
    for (int i = 0; i < 20000; ++i) {
        std::string bad = good;
        for (int flips = 0; flips < 3; ++flips)
            bad[random() % bad.size()] = static_cast<char>(random());
        const auto decoded = decodeMessage(bad);
        if (decoded.has_value())
            BOOST_TEST(encodedSize(decoded.value()) <= bad.size());
    }
}

BOOST_AUTO_TEST_CASE(overlongFieldsAreRejected)
{
    PeerMessage message;
    message.target = std::string(maxNameBytes + 1, 'x');
    BOOST_TEST(!encodeMessage(message).has_value());
    message.target.clear();
    message.demands = {{.bytes = std::string(maxDemandBytes + 1, 'x')}};
    BOOST_TEST(!encodeMessage(message).has_value());
}
