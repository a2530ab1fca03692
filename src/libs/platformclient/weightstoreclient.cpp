#include "platformclient/weightstoreclient.h"

#include "base/parsenumber.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace Lagoonbank::PlatformClient {

namespace {

constexpr int statusOk = 200;
constexpr int statusTooManyRequests = 429;
constexpr int statusServerError = 500;
constexpr std::uint32_t maxRetryAfterSeconds = 3600;

bool isSafeName(std::string_view name)
{
    return !name.empty() && name != "." && name != ".."
        && std::all_of(name.begin(), name.end(), [](char c) {
               return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_'
                   || c == '.';
           });
}

Errors::Result<Base::Bytes> parseWeightBytes(const Http::Headers &headers)
{
    const auto bytes =
        Base::parseNumber<std::uint64_t>(headers.find("x-weight-bytes").value_or(""));
    if (!bytes)
        return Errors::makeError(Errors::ErrorKind::BadMessage,
                                 "The weight store did not tell the size of the weights.");
    return Base::Bytes(*bytes);
}

bool isRetryable(const Http::CallResult &result)
{
    return result.end != Http::CallEnd::Whole || result.status == statusTooManyRequests
        || result.status >= statusServerError;
}

} // namespace

std::optional<Base::Duration> retryAfter(const Http::Headers &headers)
{
    const auto seconds = Base::parseNumber<std::uint32_t>(headers.find("retry-after").value_or(""));
    if (!seconds)
        return std::nullopt;
    return std::chrono::seconds(std::min(*seconds, maxRetryAfterSeconds));
}

WeightStoreClient::WeightStoreClient(Options options)
    : m_options(std::move(options))
    , m_backoff(m_options.backoff)
{ }

WeightStoreClient::~WeightStoreClient()
{
    m_options.transport.cancel(m_call);
    m_options.timers->cancel(m_timer);
}

void WeightStoreClient::fetch(const Base::ModelId &model, const std::string &version,
                              Fetched fetched)
{
    const bool isSafe = isSafeName(model.value()) && isSafeName(version);
    if (!isSafe || m_queue.size() >= m_options.maxQueuedFetches) {
        const auto error = isSafe
            ? Errors::makeError(Errors::ErrorKind::QueueFull, "Too many fetches of weights wait.")
            : Errors::makeError(Errors::ErrorKind::BadRequest,
                                "Models and versions have letters, digits, '-', '_' and '.'.");
        m_options.timers->start({}, [fetched = std::move(fetched), error] { fetched(error); });
        return;
    }
    m_queue.push_back({.target = absl::StrCat("/weights/", model.value(), "/", version),
                       .deadline = now() + m_options.deadline,
                       .fetched = std::move(fetched)});
    if (!m_isBusy)
        startLater({});
}

void WeightStoreClient::startLater(Base::Duration delay)
{
    m_isBusy = true;
    m_timer = m_options.timers->start(delay, [this] { startNext(); });
}

void WeightStoreClient::startNext()
{
    if (m_queue.empty()) {
        m_isBusy = false;
        return;
    }
    const Base::Duration left = m_queue.front().deadline - now();
    if (left <= Base::Duration::zero())
        return finish(Errors::makeError(Errors::ErrorKind::DeadlinePassed,
                                        "The weight store gave no weights in time."));
    Http::Call call;
    call.target = m_queue.front().target;
    call.headTimeout = std::min(m_options.timeout, left);
    call.progressTimeout = call.headTimeout;
    call.freshConnection = m_needsFreshConnection;
    m_call = m_options.transport.start(
        std::move(call), [this](const Http::CallResult &result) { callEnded(result); });
}

void WeightStoreClient::callEnded(const Http::CallResult &result)
{
    m_needsFreshConnection = result.end != Http::CallEnd::Whole;
    if (isRetryable(result)) {
        const Base::Duration minDelay = retryAfter(result.headers).value_or(Base::Duration::zero());
        return startLater(std::max(minDelay, m_backoff.next()));
    }
    m_backoff.reset();
    if (result.status != statusOk)
        return finish(Errors::makeError(Errors::ErrorKind::NotFound,
                                        absl::StrCat("The weight store answered ", result.status,
                                                     " for ", m_queue.front().target, ".")));
    finish(parseWeightBytes(result.headers));
}

void WeightStoreClient::finish(Errors::Result<Base::Bytes> result)
{
    const Fetched fetched = std::move(m_queue.front().fetched);
    m_queue.pop_front();
    startLater({});
    fetched(std::move(result));
}

} // namespace Lagoonbank::PlatformClient
