#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace Lagoonbank::Standins::Platform {

/// A record to append.
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
    Base::MonoTime appendedAt;
};

/// Result of a read: the records from `first` to before `next`, where the next read continues.
struct Page
{
    Base::LogOffset first;
    Base::LogOffset next;
    std::vector<Record> records;
};

/// Limits of each stream. The oldest records are removed until all limits hold.
struct Retention
{
    Base::Duration age = std::chrono::hours(1);
    std::size_t records = 100'000;
    std::size_t bytes = 64 * 1024 * 1024;
};

/// Stream of records with ascending offsets.
class LogStream
{
public:
    std::vector<Base::LogOffset> append(std::vector<NewRecord> records, Base::MonoTime now);
    Page read(Base::LogOffset from, std::size_t limit) const;
    /// Whether a read from \a from can be answered at once: with a record, after a gap, or because
    /// the stream ends before it.
    bool hasResultFrom(Base::LogOffset from) const;
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

/// Streams of the log; their number is bounded.
class LogStore
{
public:
    static constexpr std::size_t maxStreams = 64;

    explicit LogStore(Retention retention)
        : m_retention(retention)
    { }

    /// The stream, created on first use and purged of expired records; null if there are too many.
    LogStream *stream(const std::string &name, Base::MonoTime now);
    const absl::flat_hash_map<std::string, LogStream> &streams() const { return m_streams; }

private:
    Retention m_retention;
    absl::flat_hash_map<std::string, LogStream> m_streams;
};

/// Token bucket for calls per second; the burst is a tenth of that, but at least one call.
class RateLimit
{
public:
    explicit RateLimit(double perSecond)
        : m_perSecond(perSecond)
    { }

    bool tryAcquire(Base::MonoTime now);
    /// Time until tryAcquire() succeeds again if it is not called before.
    Base::Duration timeToNextToken() const;

private:
    double burst() const;

    double m_perSecond;
    double m_tokens = 0;
    Base::MonoTime m_refilledAt;
    bool m_isInitialized = false;
};

} // namespace Lagoonbank::Standins::Platform
