#pragma once

#include "errors/result.h"
#include "platformclient/appendattempt.h"
#include "platformclient/backoff.h"
#include "platformclient/record.h"
#include "platformclient/transport.h"
#include "runtime/timerqueue.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lagoonbank::PlatformClient {

/// How an append ended, with one outcome for each of its records.
struct AppendResult
{
    std::vector<AppendOutcome> outcomes;
    bool wasLimited = false; ///< Refused for the log's rate limit.
};

/// Appends to and reads from the streams of the platform's log.
class LogClient
{
public:
    struct Options
    {
        Transport transport;
        Runtime::TimerQueue *timers = nullptr;
        Base::Duration appendTimeout = std::chrono::seconds(2);
        /// For reading back an append whose answer was lost.
        Base::Duration readBackTimeout = std::chrono::seconds(2);
        /// For the answer to a read, on top of the time that it may wait for news.
        Base::Duration readTimeout = std::chrono::seconds(1);
        Backoff::Options backoff;
    };
    struct ReadRequest
    {
        std::string stream;
        Base::LogOffset from;
        std::size_t limit = 500;
        Base::Duration wait{}; ///< For a record at or after `from` to come.
    };
    using Appended = std::function<void(AppendResult)>;
    using PageRead = std::function<void(Errors::Result<ReadPage>)>;
    using ReadId = Base::StrongNumber<struct LogReadIdTag, std::uint64_t>;

    explicit LogClient(Options options);
    ~LogClient();
    LogClient(const LogClient &) = delete;
    LogClient &operator=(const LogClient &) = delete;

    /// Appends all of \a records or none, once. A lost answer is settled by reading the stream;
    /// a record that is not found by then is Unknown. It may be appended again with the same id,
    /// since readers take the first record of an id alone. \a appended is called once, later.
    void append(const std::string &stream, const std::vector<Record> &records, Appended appended);
    /// \a pageRead is called once, later, unless the read is cancelled.
    ReadId read(const ReadRequest &request, PageRead pageRead);
    void cancel(ReadId read);

private:
    struct Append;
    void sendAppend(std::uint64_t id, std::string body);
    void appendEnded(std::uint64_t id, const Http::CallResult &result);
    void settle(std::uint64_t id);
    void settleRead(std::uint64_t id, const Errors::Result<ReadPage> &page);
    void settleLater(std::uint64_t id, Base::Duration delay);
    void finish(std::uint64_t id);
    void readEnded(ReadId id, const ReadRequest &request, const Http::CallResult &result);
    void learnEnd(const std::string &stream, Base::LogOffset end);
    Http::CallId start(Http::Call call, Transport::Finished finished);

    struct Read
    {
        Http::CallId call;
        PageRead pageRead;
    };

    Options m_options;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<Append>> m_appends;
    absl::flat_hash_map<ReadId, Read> m_reads;
    absl::flat_hash_map<std::string, Base::LogOffset> m_ends; ///< Known of each stream.
    std::uint64_t m_lastId = 0;
    bool m_distrustsConnections = false; ///< Since a call failed.
};

} // namespace Lagoonbank::PlatformClient
