#include "schema/objectreader.h"

#include "schema/jsonwriter.h"
#include "schema/textformat.h"
#include "schema/yamlreader.h"

#include <algorithm>
#include <filesystem>
#include <sstream>

namespace Lagoonbank::Schema {

namespace {

/// Part of a text between two document separators.
struct Part
{
    std::string text;
    int line = 1;
};

bool isSeparator(const std::string &line)
{
    return line == "---" || line.starts_with("--- ") || line == "---\r";
}

/// Splits the text at its document separators, so that each object gets its own text.
std::vector<Part> splitDocuments(const std::string &text, int firstLine)
{
    std::vector<Part> parts{{{}, firstLine}};
    std::istringstream stream(text);
    std::string line;
    int number = firstLine;
    while (std::getline(stream, line)) {
        ++number;
        if (isSeparator(line))
            parts.push_back({{}, number});
        else
            parts.back().text += line + "\n";
    }
    return parts;
}

std::vector<std::string_view> kindNames()
{
    std::vector<std::string_view> names;
    for (const EnumName<ObjectKind> &entry : enumNames(ObjectKind{}))
        names.push_back(entry.name);
    return names;
}

std::optional<ObjectKind> readKind(YamlReader &reader, MapReader &map)
{
    std::string choices = "give one of:";
    for (const std::string_view name : kindNames())
        choices += " " + std::string(name);
    const std::optional<std::string> text = map.scalar("kind");
    if (!text) {
        reader.addError(map.line(), "kind: missing; " + choices);
        return std::nullopt;
    }
    const std::optional<ObjectKind> kind = enumFromName<ObjectKind>(*text);
    if (!kind) {
        const std::optional<std::string_view> nearest = nearestName(*text, kindNames());
        reader.addError(map.lines().at("kind"),
                        "kind: " + text->substr(0, 60) + " is unknown; "
                            + (nearest ? "did you mean " + std::string(*nearest) + "?" : choices));
    }
    return kind;
}

std::optional<ConfigurationObject> readNode(YamlReader &reader, const YAML::Node &node)
{
    if (!node.IsMap()) {
        reader.addError(node, "the document is not a map; begin it with kind and name");
        return std::nullopt;
    }
    MapReader map(reader, node, {});
    const std::optional<ObjectKind> kind = readKind(reader, map);
    if (!kind)
        return std::nullopt;
    ConfigurationObject object = makeObject(*kind);
    std::visit([&](auto &value) { readFields(map, value); }, object);
    map.finish();
    return object;
}

void readPart(YamlReader &reader, const Part &part, std::vector<ObjectDocument> &out)
{
    for (const YAML::Node &node : reader.parse(part.text)) {
        if (std::optional<ConfigurationObject> object = readNode(reader, node))
            out.push_back({std::move(*object), part.text, part.line});
    }
}

constexpr int maxJsonDepth = 16;

/// Converts the JSON value to the node that the YAML parser would create for it.
YAML::Node toNode(const nlohmann::json &json, int depth = 0)
{
    YAML::Node node;
    if (depth > maxJsonDepth)
        return node;
    if (json.is_object()) {
        node = YAML::Node(YAML::NodeType::Map);
        for (const auto &[key, value] : json.items())
            node.force_insert(key, toNode(value, depth + 1));
    } else if (json.is_array()) {
        node = YAML::Node(YAML::NodeType::Sequence);
        for (const nlohmann::json &item : json)
            node.push_back(toNode(item, depth + 1));
    } else if (json.is_string()) {
        node = json.get<std::string>();
        node.SetTag("!");
    } else if (!json.is_null()) {
        node = json.dump();
        node.SetTag("?");
    }
    return node;
}

std::vector<std::string> yamlFiles(const std::string &path)
{
    std::error_code error;
    if (!std::filesystem::is_directory(path, error))
        return {path};
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(path, error)) {
        const bool hasYamlExtension =
            entry.path().extension() == ".yaml" || entry.path().extension() == ".yml";
        if (entry.is_regular_file(error) && hasYamlExtension)
            files.push_back(entry.path().string());
    }
    std::ranges::sort(files);
    return files;
}

} // namespace

ObjectKind kindOf(const ConfigurationObject &object)
{
    return static_cast<ObjectKind>(object.index());
}

const std::string &nameOf(const ConfigurationObject &object)
{
    return std::visit(
        [](const auto &value) -> const std::string & {
            if constexpr (std::same_as<std::decay_t<decltype(value.name)>, std::string>)
                return value.name;
            else
                return value.name.value();
        },
        object);
}

const Source &sourceOf(const ConfigurationObject &object)
{
    return std::visit([](const auto &value) -> const Source & { return value.source; }, object);
}

nlohmann::ordered_json toJson(const ConfigurationObject &object)
{
    return std::visit([](const auto &value) { return toJson(value); }, object);
}

ReadResult<std::vector<ObjectDocument>> readObjects(const std::string &file,
                                                    const std::string &text, int firstLine)
{
    std::vector<ObjectDocument> objects;
    SettingsErrors errors;
    for (const Part &part : splitDocuments(text, firstLine)) {
        YamlReader reader(file, part.line);
        readPart(reader, part, objects);
        errors.insert(errors.end(), reader.errors().begin(), reader.errors().end());
    }
    if (!errors.empty())
        return errors;
    return objects;
}

ReadResult<ConfigurationObject> readObject(const std::string &file, const std::string &text,
                                           int firstLine)
{
    ReadResult<std::vector<ObjectDocument>> objects = readObjects(file, text, firstLine);
    if (!objects)
        return objects.error();
    if (objects.value().size() != 1) {
        return SettingsErrors{
            {file, firstLine,
             "has " + std::to_string(objects.value().size()) + " objects; give exactly one"}};
    }
    return std::move(objects.value().front().object);
}

ReadResult<ConfigurationObject> readObjectJson(const std::string &json, const Source &source)
{
    const nlohmann::json parsed = nlohmann::json::parse(json, nullptr, false);
    if (parsed.is_discarded())
        return SettingsErrors{{source.file, source.line, "not valid JSON"}};
    YamlReader reader(source.file, source.line);
    std::optional<ConfigurationObject> object = readNode(reader, toNode(parsed));
    if (!object)
        return reader.takeErrors();
    if (!reader.errors().empty())
        return reader.takeErrors();
    std::visit([&](auto &value) { value.source = source; }, *object);
    return std::move(*object);
}

ReadResult<std::vector<ObjectDocument>> readObjectFiles(const std::string &path)
{
    std::vector<ObjectDocument> objects;
    SettingsErrors errors;
    for (const std::string &file : yamlFiles(path)) {
        const ReadResult<std::string> text = readTextFile(file);
        if (!text) {
            errors.insert(errors.end(), text.error().begin(), text.error().end());
            continue;
        }
        ReadResult<std::vector<ObjectDocument>> read = readObjects(file, text.value());
        if (!read)
            errors.insert(errors.end(), read.error().begin(), read.error().end());
        else
            std::ranges::move(read.value(), std::back_inserter(objects));
    }
    if (!errors.empty())
        return errors;
    if (objects.empty())
        return SettingsErrors{{path, 1, "holds no object; give a YAML file or a folder of them"}};
    return objects;
}

} // namespace Lagoonbank::Schema
