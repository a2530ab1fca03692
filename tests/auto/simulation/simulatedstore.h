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

/// The platform's store, as far as lagoonbank uses it: a log of records with keys for each topic.
/// Nothing that was written is lost; what may go wrong on the way to it is StoreLink's.
class SimulatedStore
{
public:
    /// The newest record of a key, dropped ones too.
    struct Newest
    {
        std::optional<std::string> value;
        Lagoonbank::Base::LogOffset offset;
        /// When it was written first with this value.
        Lagoonbank::Base::MonoTime writtenAt;
    };
    using Keys = std::map<std::string, Newest>;

    explicit SimulatedStore(const Lagoonbank::Runtime::Clock &clock)
        : m_clock(clock)
    { }

    void append(Topic topic, const std::string &key, std::optional<std::string> value);
    /// Forgets all records; the newest of each key can still be listed.
    void trim(Topic topic);

    Lagoonbank::KeyedLog::NewestPage newest(Topic topic, const std::string &after) const;
    /// Nothing while there is no record at or behind \a from.
    std::optional<Lagoonbank::KeyedLog::TailPage> tail(Topic topic,
                                                       Lagoonbank::Base::LogOffset from) const;
    /// The answer to a read that has waited in vain.
    Lagoonbank::KeyedLog::TailPage emptyTail(Topic topic) const;

    const Keys &keys(Topic topic) const { return log(topic).keys; }

    /// Called after each append.
    std::function<void(Topic topic)> appended;

private:
    struct Log
    {
        std::vector<Lagoonbank::KeyedLog::KeyedRecord> records; ///< From `first` on.
        std::uint64_t first = 0;
        Keys keys;

        Lagoonbank::Base::LogOffset end() const
        {
            return Lagoonbank::Base::LogOffset(first + records.size());
        }
    };
    const Log &log(Topic topic) const { return m_logs.at(static_cast<std::size_t>(topic)); }
    Log &log(Topic topic) { return m_logs.at(static_cast<std::size_t>(topic)); }

    const Lagoonbank::Runtime::Clock &m_clock;
    std::array<Log, topicCount> m_logs;
};

} // namespace Simulation
