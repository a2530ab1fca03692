#define BOOST_TEST_MODULE tst_eventsplitter
#include <boost/test/unit_test.hpp>

#include "gateway/eventsplitter.h"

#include <string>
#include <vector>

using Lagoonbank::Gateway::EventSplitter;

namespace {

struct Seen
{
    std::vector<std::string> events;
    std::vector<std::optional<std::uint64_t>> ids;

    bool read(EventSplitter &cutter, std::string_view piece)
    {
        return cutter.read(piece, [this](const EventSplitter::Event &event) {
            events.emplace_back(event.bytes);
            ids.push_back(event.id);
        });
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(eventsAreSplitIndependentlyOfChunking)
{
    const std::string stream = "id: 1\ndata: a\n\nid:2\ndata: b\ndata: c\n\n: comment\n\nid: 17\r\n"
                               "data: d\r\n\r\ndata: no id\n\n";
    const std::vector<std::optional<std::uint64_t>> ids{1, 2, std::nullopt, 17, std::nullopt};
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        BOOST_TEST_CONTEXT("pieces of " << size)
        {
            EventSplitter cutter;
            Seen seen;
            for (std::size_t at = 0; at < stream.size(); at += size)
                BOOST_TEST(seen.read(cutter, std::string_view(stream).substr(at, size)));
            std::string joined;
            for (const std::string &event : seen.events)
                joined += event;
            BOOST_TEST(joined == stream);
            BOOST_TEST((seen.ids == ids));
            BOOST_TEST(cutter.remainder().empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(incompleteEventIsKeptAsRemainder)
{
    EventSplitter cutter;
    Seen seen;
    BOOST_TEST(seen.read(cutter, "id: 1\ndata: a\n\nid: 2\ndata: b\n"));
    BOOST_TEST(seen.events.size() == 1U);
    BOOST_TEST(cutter.remainder() == "id: 2\ndata: b\n");
    cutter.clear();
    BOOST_TEST(seen.read(cutter, "id: 2\ndata: b\n\n"));
    BOOST_TEST(seen.events.back() == "id: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(oversizedEventIsRefused)
{
    EventSplitter cutter;
    Seen seen;
    const std::string block(512 * 1024, 'x');
    BOOST_TEST(seen.read(cutter, block));
    BOOST_TEST(seen.read(cutter, block));
    BOOST_TEST(!seen.read(cutter, block));
}
