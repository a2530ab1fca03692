#pragma once

#include "keyedlog/keyedsource.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lagoonbank::KeyedLog {

inline KeyedRecord put(const std::string &key, const std::string &value, std::uint64_t offset)
{
    return {.key = key, .value = value, .offset = Base::LogOffset(offset)};
}

inline KeyedRecord drop(const std::string &key, std::uint64_t offset)
{
    return {.key = key, .offset = Base::LogOffset(offset)};
}

/// A fake log that keeps reads pending until the test answers them.
struct FakeLog
{
    struct Read
    {
        ReadId id;
        std::string after; ///< Set for a read of the newest records.
        std::optional<Base::LogOffset> from; ///< Set for a read of the tail.
        std::function<void(Errors::Result<NewestPage>)> newest;
        std::function<void(Errors::Result<TailPage>)> tail;
    };

    KeyedSource source()
    {
        return {.readNewest =
                    [this](const std::string &after, auto read) {
                        reads.push_back({.id = ReadId(++lastId), .after = after, .newest = read});
                        return ReadId(lastId);
                    },
                .readTail =
                    [this](Base::LogOffset from, Base::Duration, auto read) {
                        reads.push_back({.id = ReadId(++lastId), .from = from, .tail = read});
                        return ReadId(lastId);
                    },
                .cancel =
                    [this](ReadId id) {
                        std::erase_if(reads, [id](const Read &read) { return read.id == id; });
                    }};
    }
    Read take()
    {
        BOOST_REQUIRE(!reads.empty());
        Read read = std::move(reads.front());
        reads.pop_front();
        return read;
    }
    void answerNewest(std::vector<KeyedRecord> records, std::uint64_t end, bool hasMore = false)
    {
        const Read read = take();
        BOOST_REQUIRE(read.newest);
        read.newest(NewestPage{std::move(records), hasMore, Base::LogOffset(end)});
    }
    void answerTail(std::vector<KeyedRecord> records, std::uint64_t end)
    {
        const Read read = take();
        BOOST_REQUIRE(read.tail);
        read.tail(TailPage{.records = std::move(records), .end = Base::LogOffset(end)});
    }

    std::deque<Read> reads;
    std::uint64_t lastId = 0;
};

} // namespace Lagoonbank::KeyedLog
