#pragma once

#include "keyedlog/keyedsource.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Lagoonbank::KeyedLog {

/// A fake log that keeps the write in flight pending until the test completes it.
struct FakeWrites
{
    KeyedWrite write()
    {
        return [this](const std::string &key, const std::string &value, auto written) {
            ++writes;
            keys.push_back(key);
            values[key] = value;
            pending = std::move(written);
        };
    }
    /// Completes the write in flight.
    void answer(bool isWritten = true)
    {
        BOOST_REQUIRE(pending);
        const auto finished = std::exchange(pending, nullptr);
        if (isWritten)
            finished(boost::outcome_v2::success());
        else
            finished(Errors::makeError(Errors::ErrorKind::LogUnavailable));
    }

    int writes = 0;
    std::vector<std::string> keys; ///< Of the writes, in their order.
    std::map<std::string, std::string> values; ///< The latest one of each key.
    std::function<void(Errors::Result<void>)> pending;
};

} // namespace Lagoonbank::KeyedLog
