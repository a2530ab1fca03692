#define BOOST_TEST_MODULE Wire
#include <boost/test/unit_test.hpp>

#include "schema/generated/configurationsync.h"

#include <cereal/archives/portable_binary.hpp>

#include <random>
#include <sstream>

using namespace Lagoonbank;
using namespace Lagoonbank::Schema;

namespace {

template<typename T>
std::string save(T &value)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    wire(archive, value);
    return stream.str();
}

template<typename T>
bool load(const std::string &bytes, T &value)
{
    std::istringstream stream(bytes);
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        wire(archive, value);
    } catch (const cereal::Exception &) {
        return false;
    }
    return true;
}

template<typename T>
T roundTrip(T value)
{
    T restored{};
    BOOST_REQUIRE(load(save(value), restored));
    return restored;
}

ConfigurationState makeState()
{
    ConfigurationState state{.since = Base::LogOffset(3), .next = Base::LogOffset(900), .hash = 42};
    state.objects.push_back({.kind = ObjectKind::Service,
                             .name = "booking",
                             .revision = Base::Revision(300),
                             .recordId = "r1",
                             .removed = true,
                             .body = std::string(10000, 'x')});
    return state;
}

} // namespace

BOOST_AUTO_TEST_CASE(roundTripPreservesEveryType)
{
    for (const std::int64_t number : {INT64_MIN, std::int64_t{-1}, std::int64_t{0}, INT64_MAX})
        BOOST_TEST(roundTrip(number) == number);
    for (const std::uint64_t number :
         {std::uint64_t{0}, std::uint64_t{127}, std::uint64_t{128}, UINT64_MAX})
        BOOST_TEST(roundTrip(number) == number);
    BOOST_TEST(roundTrip(0.25) == 0.25);
    BOOST_TEST((roundTrip(Base::Duration(-5)) == Base::Duration(-5)));
    BOOST_TEST((roundTrip(std::optional<std::string>("a")) == std::optional<std::string>("a")));
    BOOST_TEST((roundTrip(std::optional<std::string>()) == std::optional<std::string>()));
    const std::map<std::string, std::uint32_t> map{{"a", 1}, {"b", 2}};
    BOOST_TEST((roundTrip(map) == map));
    BOOST_TEST((roundTrip(makeState()) == makeState()));
}

BOOST_AUTO_TEST_CASE(encodesSmallNumbersInOneByte)
{
    std::uint64_t small = 100;
    std::int64_t negative = -3;
    // The archive begins with one byte for its byte order.
    BOOST_TEST(save(small).size() == 2U);
    BOOST_TEST(save(negative).size() == 2U);
}

BOOST_AUTO_TEST_CASE(rejectsNumbersOutOfRange)
{
    std::uint64_t tooLarge = std::uint64_t{UINT32_MAX} + 1;
    std::uint32_t number = 0;
    BOOST_TEST(!load(save(tooLarge), number));
    std::int64_t tooSmall = std::int64_t{INT32_MIN} - 1;
    std::int32_t signedNumber = 0;
    BOOST_TEST(!load(save(tooSmall), signedNumber));
}

BOOST_AUTO_TEST_CASE(rejectsMalformedMessages)
{
    ConfigurationState state = makeState();
    const std::string bytes = save(state);
    ConfigurationState read;
    for (std::size_t size = 0; size < bytes.size(); size += size < 100 ? 1 : 97)
        BOOST_TEST(!load(bytes.substr(0, size), read), "cut at " << size);
    std::string newer = bytes;
    newer[1] = 2;
    BOOST_TEST(!load(newer, read));
    std::string hugeList("\x01\x01\x00\x00\x00\xff\xff\xff\xff\x7f", 10);
    BOOST_TEST(!load(hugeList, read));
    std::string endlessCount = std::string("\x01\x01", 2) + std::string(20, '\xff');
    BOOST_TEST(!load(endlessCount, read));
    state.objects[0].kind = static_cast<ObjectKind>(200);
    BOOST_CHECK_THROW(save(state), cereal::Exception);
}

BOOST_AUTO_TEST_CASE(survivesRandomBytes)
{
    std::mt19937 random(7);
    for (int round = 0; round < 20000; ++round) {
        std::string bytes(random() % 200, '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(random());
        if (bytes.size() > 1) {
            bytes[0] = 1;
            bytes[1] = 1;
        }
        ConfigurationState read;
        load(bytes, read);
        BOOST_REQUIRE(read.objects.size() <= bytes.size());
    }
}
