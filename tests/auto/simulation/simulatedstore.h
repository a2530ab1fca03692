#pragma once

#include "keyedlog/keyedsource.h"
#include "runtime/timerqueue.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Simulation {

enum class Topic : std::uint8_t { Configuration, Endpoints, Routers };
constexpr std::size_t topicCount = 3;

/// The part of the platform's store that lagoonbank uses: a log of keyed records for each topic.
/// Written records are lost only by restore(); failures of calls are simulated by StoreLink.
class SimulatedStore
{
public:
    /// The newest record of a key. A record without a value marks a dropped key.
    struct Newest
    {
        std::optional<std::string> value;
        Lagoonbank::Base::LogOffset offset;
        /// Time of the first write of this value; repeated writes of it don't change the time.
        Lagoonbank::Base::MonoTime writtenAt;
    };
    using Keys = std::map<std::string, Newest>;

    explicit SimulatedStore(const Lagoonbank::Runtime::Clock &clock)
        : m_clock(clock)
    { }

    void append(Topic topic, const std::string &key, std::optional<std::string> value);
    /// Drops all records from the log; newest() still returns the newest of each key.
    void trim(Topic topic);
    /// Reverts all topics to their state at \a time, in a new era.
    void restore(Lagoonbank::Base::MonoTime time);
    Lagoonbank::Base::LogEra era() const { return m_era; }

    Lagoonbank::KeyedLog::NewestPage newest(Topic topic, const std::string &after) const;
    /// Returns std::nullopt if there is no record at or after \a from yet.
    std::optional<Lagoonbank::KeyedLog::TailPage> tail(Topic topic,
                                                       Lagoonbank::Base::LogOffset from) const;
    /// The answer to a read whose wait has expired without a new record.
    Lagoonbank::KeyedLog::TailPage emptyTail(Topic topic) const;

    const Keys &keys(Topic topic) const { return log(topic).keys; }

    /// Called after each append.
    std::function<void(Topic topic)> appended;

private:
    struct Write
    {
        std::string key;
        std::optional<std::string> value;
        Lagoonbank::Base::MonoTime time;
    };
    struct Log
    {
        std::vector<Lagoonbank::KeyedLog::KeyedRecord> records; ///< Records from offset `first` on.
        std::uint64_t first = 0;
        Keys keys;
        std::vector<Write> writes; ///< All writes since the start, also of trimmed records.
    };
    Lagoonbank::Base::LogOffset end(const Log &log) const;
    void write(Log &log, const Write &write);
    const Log &log(Topic topic) const { return m_logs.at(static_cast<std::size_t>(topic)); }
    Log &log(Topic topic) { return m_logs.at(static_cast<std::size_t>(topic)); }

    const Lagoonbank::Runtime::Clock &m_clock;
    std::array<Log, topicCount> m_logs;
    Lagoonbank::Base::LogEra m_era{1};
};

} // namespace Simulation
