#pragma once

#include "errors/result.h"
#include "http/server.h"
#include "runtime/loop.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Lagoonbank::Node {

/// The percent-decoded parameters of a query. If a name occurs more than once, the last value is
/// used.
using QueryParameters = std::map<std::string, std::string, std::less<>>;
QueryParameters readQuery(std::string_view query);

/// HTTP server for operators and metrics collectors. Answers GET requests with JSON or text.
class AdminPort
{
public:
    struct Answer
    {
        int status = 200;
        std::string contentType = "application/json";
        std::string body;
    };
    using Handler = std::function<Answer(const QueryParameters &query)>;

    AdminPort(Runtime::Loop &loop, const Runtime::SocketAddress &address);

    void add(const std::string &path, Handler handler);
    Errors::Result<void> listen() { return m_server.listen(); }
    const Runtime::SocketAddress &address() const { return m_server.address(); }
    void stop() { m_server.stopAccepting(); }

    static Answer json(const nlohmann::ordered_json &body, int status = 200);

private:
    void handle(const Http::Request &request, Http::Responder &responder) const;

    Http::Server m_server;
    std::map<std::string, Handler, std::less<>> m_handlers;
};

} // namespace Lagoonbank::Node
