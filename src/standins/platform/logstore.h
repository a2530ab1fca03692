#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace Lagoonbank::Standins::Platform {

/// A record as a writer gives it.
struct NewRecord
{
    std::string id;
    std::string data;
};

struct Record
{
    Base::LogOffset offset;
    std::string id;
    std::string data;
    Base::MonoTime appended;
};

/// What one read gives: records from `first` up to `next`, which is where to read on.
struct Page
{
    Base::LogOffset first;
    Base::LogOffset next;
    std::vector<Record> records;
};

/// How much of each stream is kept; what is older than any of these goes.
struct Retention
{
    Base::Duration age = std::chrono::hours(1);
    std::size_t records = 100'000;
    std::size_t bytes = 64 * 1024 * 1024;
};

/// One stream: records with offsets that only go up.
class LogStream
{
public:
    std::vector<Base::LogOffset> append(std::vector<NewRecord> records, Base::MonoTime now);
    Page read(Base::LogOffset from, std::size_t limit) const;
    /// Whether a reader at \a from has something to learn: a record, a gap or an end before it.
    bool hasNews(Base::LogOffset from) const;
    void purge(const Retention &retention, Base::MonoTime now);

    Base::LogOffset first() const { return m_first; }
    Base::LogOffset next() const { return m_next; }

private:
    void dropOldest();

    std::deque<Record> m_records;
    Base::LogOffset m_first;
    Base::LogOffset m_next;
    std::size_t m_bytes = 0;
};

/// All streams; the number of streams is bounded.
class LogStore
{
public:
    static constexpr std::size_t maxStreams = 64;

    explicit LogStore(Retention retention)
        : m_retention(retention)
    { }

    /// The stream with what is too old removed; null if it would be one stream too many.
    LogStream *stream(const std::string &name, Base::MonoTime now);
    const absl::flat_hash_map<std::string, LogStream> &streams() const { return m_streams; }

private:
    Retention m_retention;
    absl::flat_hash_map<std::string, LogStream> m_streams;
};

/// Allows so many calls a second, with a tenth of a second's worth at once.
class RateLimit
{
public:
    explicit RateLimit(double perSecond)
        : m_perSecond(perSecond)
    { }

    bool take(Base::MonoTime now);
    /// How long until take() gives true again, if nobody takes in between.
    Base::Duration wait() const;

private:
    double burst() const;

    double m_perSecond;
    double m_tokens = 0;
    Base::MonoTime m_filled;
    bool m_started = false;
};

} // namespace Lagoonbank::Standins::Platform
