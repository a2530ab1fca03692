#include "node/adminport.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace Lagoonbank::Node {

namespace {

/// From this number on idle connections are closed.
constexpr std::size_t maxConnections = 64;

std::string decode(std::string_view text)
{
    constexpr std::size_t escapeLength = 3;
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const char *digits = text.data() + i + 1;
        const bool isEscape = text[i] == '%' && i + escapeLength <= text.size()
            && std::from_chars(digits, digits + 2, value, hexadecimal).ptr == digits + 2;
        if (isEscape) {
            decoded += static_cast<char>(value);
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace

QueryParameters readQuery(std::string_view query)
{
    QueryParameters parameters;
    while (!query.empty()) {
        const std::string_view part = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(part.size() + 1, query.size()));
        const std::size_t equals = std::min(part.find('='), part.size());
        const std::string_view value = part.substr(std::min(equals + 1, part.size()));
        if (equals > 0)
            parameters.insert_or_assign(decode(part.substr(0, equals)), decode(value));
    }
    return parameters;
}

AdminPort::AdminPort(Runtime::Loop &loop, const Runtime::SocketAddress &address)
    : m_server({.loop = &loop,
                .address = address,
                .limits = {.bodyBytes = 0},
                .maxConnections = maxConnections})
{
    m_server.setHandler(
        [this](const Http::Request &request, const std::shared_ptr<Http::Responder> &responder) {
            handle(request, *responder);
        });
}

void AdminPort::add(const std::string &path, Handler handler)
{
    m_handlers.insert_or_assign(path, std::move(handler));
}

AdminPort::Answer AdminPort::json(const nlohmann::ordered_json &body, int status)
{
    return {.status = status,
            .body = body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace)};
}

void AdminPort::handle(const Http::Request &request, Http::Responder &responder) const
{
    const auto found = m_handlers.find(request.path);
    if (found == m_handlers.end()) {
        responder.send(404, {{"content-type", "text/plain"}}, "There is nothing at this path.\n");
        return;
    }
    if (request.method != "GET") {
        responder.send(405, {{"content-type", "text/plain"}}, "Use GET.\n");
        return;
    }
    Answer answer = found->second(readQuery(request.query));
    responder.send(answer.status, {{"content-type", answer.contentType}}, std::move(answer.body));
}

} // namespace Lagoonbank::Node
