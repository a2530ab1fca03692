#include "configuration/record.h"

#include <nlohmann/json.hpp>

namespace Lagoonbank::Configuration {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxNameBytes = 256;
constexpr std::size_t maxTimeBytes = 64;
constexpr std::size_t maxFileBytes = 4096;
constexpr std::size_t maxLineEntries = 64;
constexpr std::uint32_t maxSnapshotParts = 100000;

/// Reads fields of one JSON object and keeps the first error.
class FieldReader
{
public:
    explicit FieldReader(const Json &json)
        : m_json(json)
    { }

    std::string text(const char *key, std::size_t maxBytes)
    {
        const Json *value = find(key);
        if (!value || !value->is_string()
            || value->get_ref<const std::string &>().size() > maxBytes)
            return fail<std::string>(key);
        return value->get<std::string>();
    }
    /// Returns an empty text if the field is missing or invalid. Programs that don't know the field
    /// accept the record, so that an invalid value must not make this program refuse it.
    std::string optionalText(const char *key, std::size_t maxBytes) const
    {
        const Json *value = find(key);
        const auto *text = value ? value->get_ptr<const std::string *>() : nullptr;
        return text && text->size() <= maxBytes ? *text : std::string();
    }
    std::uint64_t number(const char *key, std::uint64_t max = UINT64_MAX)
    {
        const Json *value = find(key);
        if (!value || !value->is_number_unsigned() || value->get<std::uint64_t>() > max)
            return fail<std::uint64_t>(key);
        return value->get<std::uint64_t>();
    }
    bool flag(const char *key)
    {
        const Json *value = find(key);
        if (!value || !value->is_boolean())
            return fail<bool>(key);
        return value->get<bool>();
    }
    Schema::ObjectKind kind(const char *key)
    {
        const auto kind = Schema::enumFromName<Schema::ObjectKind>(text(key, maxNameBytes));
        return kind ? *kind : fail<Schema::ObjectKind>(key);
    }
    std::map<std::string, std::uint32_t> lines(const char *key)
    {
        std::map<std::string, std::uint32_t> lines;
        const Json *value = find(key);
        if (!value || !value->is_object() || value->size() > maxLineEntries)
            return fail<std::map<std::string, std::uint32_t>>(key);
        for (const auto &[name, line] : value->items()) {
            if (!line.is_number_unsigned() || line.get<std::uint64_t>() > INT32_MAX)
                return fail<std::map<std::string, std::uint32_t>>(key);
            lines[name] = line.get<std::uint32_t>();
        }
        return lines;
    }
    const Json *list(const char *key)
    {
        const Json *value = find(key);
        return value && value->is_array() ? value : fail<const Json *>(key);
    }

    const std::string &error() const { return m_error; }

private:
    const Json *find(const char *key) const
    {
        if (!m_json.is_object())
            return nullptr;
        const auto it = m_json.find(key);
        return it == m_json.end() ? nullptr : &*it;
    }
    template<typename T>
    T fail(const char *key)
    {
        if (m_error.empty())
            m_error = std::string(key) + " is missing or wrong";
        return {};
    }

    const Json &m_json;
    std::string m_error;
};

Errors::Error malformed(const std::string &detail)
{
    return Errors::makeError(Errors::ErrorKind::BadMessage, detail);
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json toJson(const Schema::ObjectState &object)
{
    return {{"kind", Schema::toString(object.kind)},
            {"name", object.name},
            {"revision", object.revision.value()},
            {"offset", object.offset.value()},
            {"record_id", object.recordId},
            {"publisher", object.publisher},
            {"removed", object.removed},
            {"file", object.file},
            {"line", object.line},
            {"lines", object.lines},
            {"body", object.body}};
}

Schema::ObjectState readObjectState(FieldReader &reader)
{
    Schema::ObjectState object;
    object.kind = reader.kind("kind");
    object.name = reader.text("name", maxNameBytes);
    object.revision = Base::Revision(reader.number("revision"));
    object.offset = Base::LogOffset(reader.number("offset"));
    object.recordId = reader.text("record_id", maxNameBytes);
    object.publisher = reader.text("publisher", maxNameBytes);
    object.removed = reader.flag("removed");
    object.file = reader.text("file", maxFileBytes);
    object.line = static_cast<std::uint32_t>(reader.number("line", INT32_MAX));
    object.lines = reader.lines("lines");
    object.body = reader.text("body", maxBodyBytes);
    return object;
}

Errors::Result<Record> readChange(const Json &json)
{
    FieldReader reader(json);
    ChangeRecord change;
    change.key = {reader.kind("kind"), reader.text("name", maxNameBytes)};
    change.base = Base::Revision(reader.number("base"));
    change.publisher = reader.text("publisher", maxNameBytes);
    change.removes = reader.flag("removes");
    change.file = reader.text("file", maxFileBytes);
    change.line = static_cast<std::uint32_t>(reader.number("line", INT32_MAX));
    change.lines = reader.lines("lines");
    change.body = reader.text("body", maxBodyBytes);
    change.time = reader.optionalText("time", maxTimeBytes);
    if (!reader.error().empty())
        return malformed("change: " + reader.error());
    return Record(std::move(change));
}

Errors::Result<Record> readSnapshotPart(const Json &json)
{
    FieldReader reader(json);
    SnapshotPart part;
    part.snapshot = reader.text("snapshot", maxNameBytes);
    part.writer = reader.text("writer", maxNameBytes);
    part.part = static_cast<std::uint32_t>(reader.number("part", maxSnapshotParts));
    part.parts = static_cast<std::uint32_t>(reader.number("parts", maxSnapshotParts));
    part.through = Base::LogOffset(reader.number("through"));
    part.hash = reader.number("hash");
    const Json *objects = reader.list("objects");
    if (!reader.error().empty())
        return malformed("snapshot: " + reader.error());
    if (part.part >= part.parts)
        return malformed("snapshot: part is not below parts");
    for (const Json &item : *objects) {
        FieldReader itemReader(item);
        part.objects.push_back(readObjectState(itemReader));
        if (!itemReader.error().empty())
            return malformed("snapshot object: " + itemReader.error());
    }
    return Record(std::move(part));
}

} // namespace

ChangeRecord makeChange(const Schema::ConfigurationObject &object, Base::Revision base,
                        const std::string &publisher)
{
    const Schema::Source &source = Schema::sourceOf(object);
    ChangeRecord change{.key = keyOf(object), .base = base, .publisher = publisher};
    change.file = source.file;
    change.line = static_cast<std::uint32_t>(source.line);
    for (const auto &[key, line] : source.lines)
        change.lines[key] = static_cast<std::uint32_t>(line);
    change.body = Schema::toJson(object).dump();
    return change;
}

std::string encode(const ChangeRecord &change)
{
    Json json{{"form", "change"},
              {"version", recordVersion},
              {"kind", Schema::toString(change.key.kind)},
              {"name", change.key.name},
              {"base", change.base.value()},
              {"publisher", change.publisher},
              {"removes", change.removes},
              {"file", change.file},
              {"line", change.line},
              {"lines", change.lines},
              {"body", change.body}};
    if (!change.time.empty())
        json["time"] = change.time;
    return dump(json);
}

std::string encode(const SnapshotPart &part)
{
    Json objects = Json::array();
    for (const Schema::ObjectState &object : part.objects)
        objects.push_back(toJson(object));
    return dump({{"form", "snapshot"},
                 {"version", recordVersion},
                 {"snapshot", part.snapshot},
                 {"writer", part.writer},
                 {"part", part.part},
                 {"parts", part.parts},
                 {"through", part.through.value()},
                 {"hash", part.hash},
                 {"objects", std::move(objects)}});
}

Errors::Result<Record> decode(const std::string &data)
{
    if (data.size() > maxRecordBytes)
        return malformed("the record is too long");
    const Json json = Json::parse(data, nullptr, false);
    if (!json.is_object())
        return malformed("the record is not a JSON object");
    FieldReader reader(json);
    const std::uint64_t version = reader.number("version");
    if (!reader.error().empty() || version == 0)
        return malformed("version is missing or wrong");
    if (version > recordVersion) {
        return Errors::makeError(Errors::ErrorKind::WrongVersion,
                                 "the record has version " + std::to_string(version));
    }
    const std::string form = reader.text("form", maxNameBytes);
    if (form == "change")
        return readChange(json);
    if (form == "snapshot")
        return readSnapshotPart(json);
    return malformed("form is neither change nor snapshot");
}

} // namespace Lagoonbank::Configuration
