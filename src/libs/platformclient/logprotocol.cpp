#include "platformclient/logprotocol.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Lagoonbank::PlatformClient {

namespace {

using Json = nlohmann::json;

Errors::Error badAnswer(std::string detail)
{
    return Errors::makeError(Errors::ErrorKind::BadMessage, std::move(detail));
}

bool hasOffset(const Json &json, const char *name)
{
    return json.contains(name) && json[name].is_number_unsigned();
}

Base::LogOffset offsetOf(const Json &json, const char *name)
{
    return Base::LogOffset(json[name].get<std::uint64_t>());
}

bool isStoredRecord(const Json &json)
{
    return json.is_object() && hasOffset(json, "offset") && json.contains("id")
        && json["id"].is_string() && json.contains("data") && json["data"].is_string();
}

} // namespace

Errors::Result<std::string> appendBody(std::span<const Record> records)
{
    Json list = Json::array();
    for (const Record &record : records)
        list.push_back({{"id", record.id}, {"data", record.data}});
    try {
        return Json{{"records", std::move(list)}}.dump();
    } catch (const Json::exception &) {
        return badAnswer("A record of the log is not UTF-8.");
    }
}

Errors::Result<std::vector<Base::LogOffset>> parseAppendAnswer(std::string_view body,
                                                               std::size_t count)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("offsets") || !json["offsets"].is_array()
        || json["offsets"].size() != count)
        return badAnswer("The log's answer to an append does not have one offset per record.");
    std::vector<Base::LogOffset> offsets;
    for (const Json &entry : json["offsets"]) {
        if (!entry.is_number_unsigned())
            return badAnswer("An offset in the log's answer is not a number.");
        const Base::LogOffset offset{entry.get<std::uint64_t>()};
        if (!offsets.empty() && offset <= offsets.back())
            return badAnswer("The offsets of an append are not increasing.");
        offsets.push_back(offset);
    }
    return offsets;
}

Errors::Result<ReadPage> parseReadAnswer(std::string_view body, Base::LogOffset from)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !hasOffset(json, "first") || !hasOffset(json, "next")
        || !json.contains("records") || !json["records"].is_array())
        return badAnswer("The log's answer to a read lacks first, next or records.");
    ReadPage page{.first = offsetOf(json, "first"), .next = offsetOf(json, "next")};
    if (page.next < from)
        return badAnswer("The log ends before the requested offset.");
    Base::LogOffset minOffset = std::max(from, page.first);
    for (const Json &entry : json["records"]) {
        if (!isStoredRecord(entry))
            return badAnswer("A record of the log lacks offset, id or data.");
        const Base::LogOffset offset = offsetOf(entry, "offset");
        if (offset < minOffset || offset >= page.next)
            return badAnswer("The records of a read are out of order.");
        minOffset = offset + Base::LogOffset(1);
        page.records.push_back(
            {offset, entry["id"].get<std::string>(), entry["data"].get<std::string>()});
    }
    return page;
}

} // namespace Lagoonbank::PlatformClient
