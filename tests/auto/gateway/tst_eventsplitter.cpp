#define BOOST_TEST_MODULE tst_eventsplitter
#include <boost/test/unit_test.hpp>

#include "gateway/eventsplitter.h"

#include <string>
#include <vector>

using Lagoonbank::Gateway::EventSplitter;

namespace {

struct EventCollector
{
    std::vector<std::string> events;
    std::vector<std::optional<std::uint64_t>> ids;

    bool read(EventSplitter &splitter, std::string_view piece)
    {
        return splitter.read(piece, [this](const EventSplitter::Event &event) {
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
            EventSplitter splitter;
            EventCollector collector;
            for (std::size_t at = 0; at < stream.size(); at += size)
                BOOST_TEST(collector.read(splitter, std::string_view(stream).substr(at, size)));
            std::string joined;
            for (const std::string &event : collector.events)
                joined += event;
            BOOST_TEST(joined == stream);
            BOOST_TEST((collector.ids == ids));
            BOOST_TEST(splitter.remainder().empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(incompleteEventIsKeptAsRemainder)
{
    EventSplitter splitter;
    EventCollector collector;
    BOOST_TEST(collector.read(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n"));
    BOOST_TEST(collector.events.size() == 1U);
    BOOST_TEST(splitter.remainder() == "id: 2\ndata: b\n");
    splitter.clear();
    BOOST_TEST(collector.read(splitter, "id: 2\ndata: b\n\n"));
    BOOST_TEST(collector.events.back() == "id: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(oversizedEventIsRefused)
{
    EventSplitter splitter;
    EventCollector collector;
    const std::string block(512 * 1024, 'x');
    BOOST_TEST(collector.read(splitter, block));
    BOOST_TEST(collector.read(splitter, block));
    BOOST_TEST(!collector.read(splitter, block));
}
