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

/// Result of an append, with one outcome per record.
struct AppendResult
{
    std::vector<AppendOutcome> outcomes;
    bool wasRateLimited = false; ///< Refused because of the log's rate limit.
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
        /// Limit for reading back the records of an append whose answer was lost.
        Base::Duration readBackTimeout = std::chrono::seconds(2);
        /// Limit for the answer to a read, in addition to ReadRequest::wait.
        Base::Duration readTimeout = std::chrono::seconds(1);
        Backoff::Options backoff;
    };
    struct ReadRequest
    {
        std::string stream;
        Base::LogOffset from;
        std::size_t limit = 500;
        Base::Duration wait{}; ///< How long the log waits for a record at or after `from`.
    };
    using Appended = std::function<void(AppendResult)>;
    using PageRead = std::function<void(Errors::Result<ReadPage>)>;
    using ReadId = Base::StrongNumber<struct LogReadIdTag, std::uint64_t>;

    explicit LogClient(Options options);
    ~LogClient();
    LogClient(const LogClient &) = delete;
    LogClient &operator=(const LogClient &) = delete;

    /// Appends all of \a records or none, in one call. If the answer is lost, reads the stream
    /// back; a record that is not found in time is Unknown. Such a record may be appended again
    /// with the same id, since readers only use the first record of an id. \a appended is called
    /// once, later.
    void append(const std::string &stream, const std::vector<Record> &records, Appended appended);
    /// Reads one page. \a pageRead is called once, later, unless the read is cancelled.
    ReadId read(const ReadRequest &request, PageRead pageRead);
    void cancel(ReadId read);

private:
    struct Append;
    void sendAppend(std::uint64_t id, std::string body);
    void appendEnded(std::uint64_t id, const Http::CallResult &result);
    void readBack(std::uint64_t id);
    void readBackEnded(std::uint64_t id, const Errors::Result<ReadPage> &page);
    void readBackLater(std::uint64_t id, Base::Duration delay);
    void finish(std::uint64_t id);
    void readEnded(ReadId id, const ReadRequest &request, const Http::CallResult &result);
    void noteStreamEnd(const std::string &stream, Base::LogOffset end);
    Http::CallId start(Http::Call call, Transport::Finished finished);

    struct Read
    {
        Http::CallId call;
        PageRead pageRead;
    };

    Options m_options;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<Append>> m_appends;
    absl::flat_hash_map<ReadId, Read> m_reads;
    absl::flat_hash_map<std::string, Base::LogOffset>
        m_streamEnds; ///< Highest known end of each stream.
    std::uint64_t m_lastId = 0;
    bool m_needsFreshConnection = false; ///< The last call failed.
};

} // namespace Lagoonbank::PlatformClient
