#pragma once

#include "operations/adminclient.h"
#include "operations/command.h"
#include "operations/logoutcomes.h"
#include "timeline/outcome.h"
#include "timeline/requestid.h"

#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Operations {

/// `request ID` and `request --workspace W --key K`: shows the outcome of a request. Queries the
/// request's router first, then all processes, and then reads the log, which also has the outcomes
/// of routers that have been replaced.
class RequestCommand final : public Command
{
public:
    RequestCommand(const Context &context, RequestQuery query);
    ~RequestCommand() override;
    RequestCommand(const RequestCommand &) = delete;
    RequestCommand &operator=(const RequestCommand &) = delete;

    void start(Finished finished) override;

private:
    void findRouter();
    void vmsRead(const Http::CallResult &result);
    void queryRouter(const std::vector<Runtime::SocketAddress> &addresses);
    void queryAll();
    void allAnswered(const std::vector<AdminAnswer> &answers);
    void addOutcomes(const std::vector<AdminAnswer> &answers);
    void readLog();
    void logRead();
    void queryEvents();
    void queryEvents(const Base::RequestId &request);
    void finish(const std::vector<AdminAnswer> &answers);
    Report notFoundReport() const;

    const Context &m_context;
    RequestQuery m_query;
    std::optional<Timeline::RequestOrigin> m_origin;
    AdminClient m_client;
    LogOutcomes m_log;
    Http::CallId m_vmCall;
    std::vector<FoundOutcome> m_found;
    std::string m_unreached;
    std::size_t m_queried = 0;
    std::size_t m_reached = 0;
    bool m_wasLogRead = false;
    Finished m_finished;
};

} // namespace Lagoonbank::Operations
