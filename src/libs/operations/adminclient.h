#pragma once

#include "operations/command.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Lagoonbank::Operations {

/// What one process answered.
struct AdminAnswer
{
    Runtime::SocketAddress from;
    int status = 0; ///< 0 if there was no answer.
    Json body; ///< Null where the answer is not a JSON object.
    std::string error; ///< Why there is no answer.

    bool isOk() const;
    /// The process answered, though maybe only that it knows nothing.
    bool wasReached() const { return status != 0; }
};

/// Asks the admin ports of many processes, a bounded number at a time.
class AdminClient
{
public:
    using Answered = std::function<void(std::vector<AdminAnswer> answers)>;
    /// Path and query for one process.
    using TargetOf = std::function<std::string(const Runtime::SocketAddress &address)>;

    explicit AdminClient(const Context &context);
    ~AdminClient();
    AdminClient(const AdminClient &) = delete;
    AdminClient &operator=(const AdminClient &) = delete;

    /// `answered` is called once, with one answer for each address in their order, and from
    /// within if there are no addresses.
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

/// Names the processes that did not answer, one a line; empty if all did.
std::string describeUnreached(const std::vector<AdminAnswer> &answers);
Json unreachedJson(const std::vector<AdminAnswer> &answers);

} // namespace Lagoonbank::Operations
