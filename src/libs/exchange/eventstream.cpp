#include "exchange/eventstream.h"

#include <nlohmann/json.hpp>

namespace Lagoonbank::Exchange {

namespace {

using Json = nlohmann::json;

constexpr std::string_view dataPrefix = "data: ";
constexpr std::size_t maxLineBytes = 1024 * 1024;

std::int64_t number(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

/// Converts the load object of the last event to the format of an X-Load header.
std::string loadText(const Json &body)
{
    const auto load = body.find("load");
    if (load == body.end() || !load->is_object())
        return {};
    return "work=" + std::to_string(number(*load, "work"))
        + ";age=" + std::to_string(number(*load, "age_ms"))
        + ";capacity=" + std::to_string(number(*load, "capacity"));
}

std::string text(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

bool EventStreamReader::read(std::string_view piece,
                             const std::function<void(const StreamEvent &)> &event)
{
    m_incompleteLine.append(piece);
    std::size_t start = 0;
    for (std::size_t end = 0; (end = m_incompleteLine.find('\n', start)) != std::string::npos;
         start = end + 1) {
        if (!readLine(std::string_view(m_incompleteLine).substr(start, end - start), event))
            return false;
    }
    m_incompleteLine.erase(0, start);
    return m_incompleteLine.size() <= maxLineBytes;
}

bool EventStreamReader::readLine(std::string_view line,
                                 const std::function<void(const StreamEvent &)> &event)
{
    if (!line.starts_with(dataPrefix))
        return true;
    const Json body = Json::parse(line.substr(dataPrefix.size()), nullptr, false);
    if (!body.is_object())
        return false;

    StreamEvent read;
    if (body.value("done", false)) {
        read.done = StreamDone{.tokens = Base::Tokens(number(body, "n")),
                               .promptTokens = Base::Tokens(number(body, "prompt_tokens")),
                               .cachedTokens = Base::Tokens(number(body, "cached_tokens")),
                               .requestId = text(body, "request_id"),
                               .load = loadText(body)};
        event(read);
        return true;
    }
    if (!body.contains("i") || !body.contains("t"))
        return false;
    read.index = number(body, "i");
    read.text = text(body, "t");
    event(read);
    return true;
}

} // namespace Lagoonbank::Exchange
