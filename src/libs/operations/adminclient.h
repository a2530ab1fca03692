#pragma once

#include "operations/command.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lagoonbank::Operations {

/// The answer of one process's admin port.
struct AdminAnswer
{
    Runtime::SocketAddress from;
    int status = 0; ///< 0 if there was no answer.
    Json body; ///< Null if the answer is not a JSON object.
    std::string error; ///< Why there is no usable answer.

    bool isOk() const;
    /// Whether the process answered, possibly with an error status such as 404.
    bool wasReached() const { return status != 0; }
};

/// Queries the admin ports of many processes, with a bounded number of concurrent calls.
class AdminClient
{
public:
    using Answered = std::function<void(std::vector<AdminAnswer> answers)>;
    /// Returns the path and query of the request to one process.
    using TargetOf = std::function<std::string(const Runtime::SocketAddress &address)>;

    explicit AdminClient(const Context &context);
    ~AdminClient();
    AdminClient(const AdminClient &) = delete;
    AdminClient &operator=(const AdminClient &) = delete;

    /// Calls `answered` once, with one answer per address, in the order of the addresses. Without
    /// addresses it is called before this function returns.
    void query(const std::vector<Runtime::SocketAddress> &addresses, const TargetOf &targetOf,
               Answered answered);
    void query(const std::vector<Runtime::SocketAddress> &addresses, const std::string &target,
               Answered answered);

private:
    struct Round;
    void startNextCall(const std::shared_ptr<Round> &round);
    void callFinished(const std::shared_ptr<Round> &round, std::size_t index,
                      const Http::CallResult &result);

    const Context &m_context;
    std::vector<Http::CallId> m_calls;
};

/// Lists the processes that did not answer, one per line. Empty if all answered.
std::string describeUnreached(const std::vector<AdminAnswer> &answers);
Json unreachedJson(const std::vector<AdminAnswer> &answers);

} // namespace Lagoonbank::Operations
