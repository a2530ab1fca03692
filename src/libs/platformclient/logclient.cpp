#include "platformclient/logclient.h"

#include "platformclient/logprotocol.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace Lagoonbank::PlatformClient {

namespace {

constexpr int statusOk = 200;
constexpr std::size_t readBackPageLimit = 500;
constexpr Base::Duration readBackWait = std::chrono::milliseconds(500);
/// Delay after a read without records, in case the log ignores the requested wait.
constexpr Base::Duration emptyReadDelay = std::chrono::milliseconds(10);

Errors::Error readError(const Http::CallResult &result)
{
    const std::string detail = result.status == 0
        ? absl::StrCat("The log gave no answer. ", result.detail)
        : absl::StrCat("The log answered ", result.status, ".");
    return Errors::makeError(Errors::ErrorKind::LogUnavailable, detail);
}

} // namespace

struct LogClient::Append
{
    std::string stream;
    AppendAttempt attempt;
    Appended appended;
    Backoff backoff;
    Base::MonoTime readBackDeadline;
    Http::CallId call;
    ReadId read;
    Runtime::TimerId timer;
};

LogClient::LogClient(Options options)
    : m_options(std::move(options))
{ }

LogClient::~LogClient()
{
    for (const auto &[id, append] : m_appends) {
        m_options.transport.cancel(append->call);
        m_options.timers->cancel(append->timer);
    }
    for (const auto &[id, read] : m_reads)
        m_options.transport.cancel(read.call);
}

void LogClient::append(const std::string &stream, const std::vector<Record> &records,
                       Appended appended)
{
    const std::uint64_t id = ++m_lastId;
    m_appends.emplace(id,
                      new Append{.stream = stream,
                                 .attempt = AppendAttempt(records, m_streamEnds[stream]),
                                 .appended = std::move(appended),
                                 .backoff = Backoff(m_options.backoff)});
    auto body = appendBody(records);
    if (body)
        return sendAppend(id, std::move(body.value()));
    m_appends[id]->timer = m_options.timers->start({}, [this, id] { appendEnded(id, {}); });
}

LogClient::ReadId LogClient::read(const ReadRequest &request, PageRead pageRead)
{
    const ReadId id{++m_lastId};
    Http::Call call;
    call.target =
        absl::StrCat("/log/", request.stream, "?from=", request.from.value(),
                     "&limit=", request.limit, "&wait_ms=", Base::toMilliseconds(request.wait));
    call.headTimeout = request.wait + m_options.readTimeout;
    call.progressTimeout = m_options.readTimeout;
    Read &read = m_reads[id];
    read.pageRead = std::move(pageRead);
    read.call = start(std::move(call), [this, id, request](const Http::CallResult &result) {
        readEnded(id, request, result);
    });
    return id;
}

void LogClient::cancel(ReadId read)
{
    const auto found = m_reads.find(read);
    if (found == m_reads.end())
        return;
    m_options.transport.cancel(found->second.call);
    m_reads.erase(found);
}

void LogClient::sendAppend(std::uint64_t id, std::string body)
{
    Append &append = *m_appends[id];
    Http::Call call;
    call.method = "POST";
    call.target = absl::StrCat("/log/", append.stream, "/append");
    call.headers.add("content-type", "application/json");
    call.body = std::move(body);
    call.headTimeout = m_options.appendTimeout;
    call.progressTimeout = m_options.appendTimeout;
    call.totalTimeout = m_options.appendTimeout;
    append.call = start(std::move(call),
                        [this, id](const Http::CallResult &result) { appendEnded(id, result); });
}

void LogClient::appendEnded(std::uint64_t id, const Http::CallResult &result)
{
    Append &append = *m_appends[id];
    if (append.attempt.appendEnded(result) == AppendAttempt::Next::Done)
        return finish(id);
    append.readBackDeadline = m_options.timers->clock().now() + m_options.readBackTimeout;
    readBack(id);
}

void LogClient::readBack(std::uint64_t id)
{
    Append &append = *m_appends[id];
    const Base::Duration left = append.readBackDeadline - m_options.timers->clock().now();
    if (left <= Base::Duration::zero())
        return finish(id);
    const ReadRequest request{.stream = append.stream,
                              .from = append.attempt.readFrom(),
                              .limit = readBackPageLimit,
                              .wait = std::min(left, readBackWait)};
    append.read = read(
        request, [this, id](const Errors::Result<ReadPage> &page) { readBackEnded(id, page); });
}

void LogClient::readBackEnded(std::uint64_t id, const Errors::Result<ReadPage> &page)
{
    Append &append = *m_appends[id];
    if (!page)
        return readBackLater(id, append.backoff.next());
    if (append.attempt.pageRead(page.value()) == AppendAttempt::Next::Done)
        return finish(id);
    readBackLater(id, page.value().records.empty() ? emptyReadDelay : Base::Duration::zero());
}

void LogClient::readBackLater(std::uint64_t id, Base::Duration delay)
{
    m_appends[id]->timer = m_options.timers->start(delay, [this, id] { readBack(id); });
}

void LogClient::finish(std::uint64_t id)
{
    const auto found = m_appends.find(id);
    const std::unique_ptr<Append> append = std::move(found->second);
    m_appends.erase(found);
    AppendResult result{.outcomes = append->attempt.outcomes(),
                        .wasRateLimited = append->attempt.wasRateLimited()};
    for (const AppendOutcome &outcome : result.outcomes) {
        if (outcome.state == AppendState::Appended)
            noteStreamEnd(append->stream, outcome.offset + Base::LogOffset(1));
    }
    append->appended(std::move(result));
}

void LogClient::readEnded(ReadId id, const ReadRequest &request, const Http::CallResult &result)
{
    const PageRead pageRead = std::move(m_reads[id].pageRead);
    m_reads.erase(id);
    if (result.end != Http::CallEnd::Whole || result.status != statusOk)
        return pageRead(readError(result));
    auto page = parseReadAnswer(result.body, request.from);
    if (page)
        noteStreamEnd(request.stream, page.value().next);
    pageRead(std::move(page));
}

void LogClient::noteStreamEnd(const std::string &stream, Base::LogOffset end)
{
    Base::LogOffset &known = m_streamEnds[stream];
    known = std::max(known, end);
}

Http::CallId LogClient::start(Http::Call call, Transport::Finished finished)
{
    call.freshConnection = m_needsFreshConnection;
    return m_options.transport.start(
        std::move(call), [this, finished = std::move(finished)](const Http::CallResult &result) {
            m_needsFreshConnection = result.end != Http::CallEnd::Whole;
            finished(result);
        });
}

} // namespace Lagoonbank::PlatformClient
