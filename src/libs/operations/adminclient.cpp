#include "operations/adminclient.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace Lagoonbank::Operations {

namespace {

constexpr int statusOk = 200;
constexpr std::size_t maxConcurrentCalls = 64;

AdminAnswer toAnswer(const Runtime::SocketAddress &from, const Http::CallResult &result)
{
    AdminAnswer answer{.from = from};
    if (result.end != Http::CallEnd::Whole) {
        answer.error = result.detail.empty() ? "incomplete answer" : result.detail;
        return answer;
    }
    answer.status = result.status;
    answer.body = Json::parse(result.body, nullptr, false);
    if (!answer.body.is_object())
        answer.body = nullptr;
    if (result.status != statusOk)
        answer.error = absl::StrCat("answered ", result.status);
    else if (answer.body.is_null())
        answer.error = "the answer is not a JSON object";
    return answer;
}

} // namespace

bool AdminAnswer::isOk() const
{
    return status == statusOk && body.is_object();
}

struct AdminClient::Round
{
    std::vector<Runtime::SocketAddress> addresses;
    TargetOf targetOf;
    Answered answered;
    std::vector<AdminAnswer> answers;
    std::size_t started = 0;
    std::size_t done = 0;
};

AdminClient::AdminClient(const Context &context)
    : m_context(context)
{ }

AdminClient::~AdminClient()
{
    for (const Http::CallId call : m_calls)
        m_context.admin.cancel(call);
}

void AdminClient::query(const std::vector<Runtime::SocketAddress> &addresses,
                        const std::string &target, Answered answered)
{
    query(
        addresses, [target](const Runtime::SocketAddress &) { return target; },
        std::move(answered));
}

void AdminClient::query(const std::vector<Runtime::SocketAddress> &addresses,
                        const TargetOf &targetOf, Answered answered)
{
    if (addresses.empty())
        return answered({});
    auto round = std::make_shared<Round>(
        Round{.addresses = addresses, .targetOf = targetOf, .answered = std::move(answered)});
    round->answers.resize(addresses.size());
    for (std::size_t i = 0; i < std::min(maxConcurrentCalls, addresses.size()); ++i)
        startNextCall(round);
}

void AdminClient::startNextCall(const std::shared_ptr<Round> &round)
{
    const std::size_t index = round->started++;
    Http::Call call;
    call.server = round->addresses[index];
    call.target = round->targetOf(call.server);
    call.connectTimeout = m_context.timeout;
    call.headTimeout = m_context.timeout;
    call.progressTimeout = m_context.timeout;
    m_calls.push_back(m_context.admin.start(std::move(call),
                                            [this, round, index](const Http::CallResult &result) {
                                                callFinished(round, index, result);
                                            }));
}

void AdminClient::callFinished(const std::shared_ptr<Round> &round, std::size_t index,
                               const Http::CallResult &result)
{
    round->answers[index] = toAnswer(round->addresses[index], result);
    ++round->done;
    if (round->started < round->addresses.size())
        startNextCall(round);
    if (round->done < round->addresses.size())
        return;
    m_calls.clear();
    round->answered(std::move(round->answers));
}

std::string describeUnreached(const std::vector<AdminAnswer> &answers)
{
    std::string text;
    for (const AdminAnswer &answer : answers) {
        if (!answer.wasReached()) {
            absl::StrAppend(&text, Runtime::toString(answer.from),
                            " did not answer: ", answer.error, "\n");
        }
    }
    return text;
}

Json unreachedJson(const std::vector<AdminAnswer> &answers)
{
    Json list = Json::array();
    for (const AdminAnswer &answer : answers) {
        if (!answer.wasReached())
            list.push_back({{"address", Runtime::toString(answer.from)}, {"error", answer.error}});
    }
    return list;
}

} // namespace Lagoonbank::Operations
