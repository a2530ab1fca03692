#pragma once

#include "base/strongtype.h"
#include "base/units.h"
#include "schema/enumname.h"
#include "schema/settingserror.h"
#include "schema/typetraits.h"

#include <yaml-cpp/yaml.h>

#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace Lagoonbank::Schema {

/// Required format of a text.
enum class TextFormat : std::uint8_t {
    Any,
    Name, ///< 1 to 128 letters, digits, '-', '_' and '.'.
    Address, ///< `ip:port`, IPv6 in brackets.
    Sha256, ///< 64 lower-case hexadecimal digits.
    PathPrefix ///< Begins with '/'.
};

/// Constraints on the value of a field, from the schema.
struct FieldRule
{
    bool required = false;
    bool secret = false; ///< The value does not appear in error texts.
    double min = std::numeric_limits<double>::lowest();
    double max = std::numeric_limits<double>::max();
    std::size_t minItems = 0;
    std::size_t maxItems = std::numeric_limits<std::size_t>::max();
    TextFormat format = TextFormat::Any;
};

/// Parses the text of one file and collects all errors in it.
class YamlReader
{
public:
    /// `firstLine` is the line of the file at which the text begins.
    explicit YamlReader(std::string file, int firstLine = 1)
        : m_file(std::move(file))
        , m_firstLine(firstLine)
    { }

    /// Returns the non-empty documents of the text. After a syntax error, which is added to the
    /// errors, the list is empty.
    std::vector<YAML::Node> parse(const std::string &text);

    const std::string &file() const { return m_file; }
    /// Returns the line of the node in the file, counted from 1.
    int line(const YAML::Node &node) const;
    void addError(int line, std::string text);
    void addError(const YAML::Node &node, std::string text)
    {
        addError(line(node), std::move(text));
    }
    const SettingsErrors &errors() const { return m_errors; }
    SettingsErrors takeErrors() { return std::move(m_errors); }

private:
    std::string m_file;
    int m_firstLine;
    SettingsErrors m_errors;
};

/// Reads the keys of one YAML map and reports unknown keys.
class MapReader
{
public:
    /// `path` is the name of the map in error texts; empty for an entire document.
    MapReader(YamlReader &reader, const YAML::Node &node, std::string path);

    /// Reads the value of the key into `out`. If the key is missing, `out` keeps its default, and
    /// an error is added if the key is required.
    template<typename T>
    void field(std::string_view key, T &out, const FieldRule &rule = {});

    /// Returns the scalar value of the key; empty if the key is missing or its value is not a
    /// scalar. The key counts as known afterwards.
    std::optional<std::string> scalar(std::string_view key);
    /// Reports the keys of the map that neither field() nor scalar() has read.
    void finish();

    /// Line of each key in the map.
    const std::map<std::string, int> &lines() const { return m_lines; }
    int line() const { return m_line; }
    /// Location of this map and its keys.
    Source source() const { return {m_reader.file(), m_line, m_lines}; }

private:
    struct Entry
    {
        std::string key;
        YAML::Node keyNode;
        YAML::Node value;
    };

    void collect(const YAML::Node &node);
    const Entry *find(std::string_view key);
    std::string pathOf(std::string_view key) const;
    void addMissing(std::string_view key);

    YamlReader &m_reader;
    std::string m_path;
    int m_line;
    bool m_isMap = false;
    std::vector<Entry> m_entries;
    std::vector<std::string> m_knownKeys;
    std::map<std::string, int> m_lines;
};

namespace Internal {

/// Value to read, with its path in error texts and its constraints.
struct ValueContext
{
    YamlReader &reader;
    const YAML::Node &node;
    const std::string &path;
    const FieldRule &rule;
};

void readBool(const ValueContext &context, bool &out);
void readText(const ValueContext &context, std::string &out);
void readDouble(const ValueContext &context, double &out);
void readSigned(const ValueContext &context, std::int64_t minValue, std::int64_t maxValue,
                std::int64_t &out);
void readUnsigned(const ValueContext &context, std::uint64_t maxValue, std::uint64_t &out);
/// Returns the index in `names` of the value; adds an error and returns empty if it is not in
/// `names`.
std::optional<std::size_t> readChoice(const ValueContext &context,
                                      const std::vector<std::string_view> &names);
bool checkSequence(const ValueContext &context);
bool checkMap(const ValueContext &context);
std::optional<std::string> readMapKey(const ValueContext &context, const YAML::Node &key);

template<typename T>
void readValue(const ValueContext &context, T &out);

template<typename T>
void readNumber(const ValueContext &context, T &out)
{
    using Limits = std::numeric_limits<T>;
    if constexpr (std::floating_point<T>) {
        readDouble(context, out);
    } else if constexpr (std::signed_integral<T>) {
        std::int64_t value = out;
        readSigned(context, Limits::min(), Limits::max(), value);
        out = static_cast<T>(value);
    } else {
        std::uint64_t value = out;
        readUnsigned(context, Limits::max(), value);
        out = static_cast<T>(value);
    }
}

template<typename T>
void readList(const ValueContext &context, std::vector<T> &out)
{
    if (!checkSequence(context))
        return;
    out.clear();
    for (const YAML::Node &item : context.node) {
        const std::string path = context.path + "[" + std::to_string(out.size()) + "]";
        readValue(ValueContext{context.reader, item, path, context.rule}, out.emplace_back());
    }
}

template<typename T>
void readMap(const ValueContext &context, std::map<std::string, T> &out)
{
    if (!checkMap(context))
        return;
    out.clear();
    for (const auto &entry : context.node) {
        const std::optional<std::string> key = readMapKey(context, entry.first);
        if (!key)
            continue;
        const std::string path = context.path + "." + *key;
        if (out.contains(*key))
            context.reader.addError(entry.first, path + ": given twice; keep one");
        readValue(ValueContext{context.reader, entry.second, path, context.rule}, out[*key]);
    }
}

template<typename T>
void readEnum(const ValueContext &context, T &out)
{
    std::vector<std::string_view> names;
    for (const EnumName<T> &entry : enumNames(T{}))
        names.push_back(entry.name);
    if (const std::optional<std::size_t> index = readChoice(context, names))
        out = enumNames(T{})[*index].value;
}

template<typename T>
void readValue(const ValueContext &context, T &out)
{
    if constexpr (std::same_as<T, bool>) {
        readBool(context, out);
    } else if constexpr (std::is_arithmetic_v<T>) {
        readNumber(context, out);
    } else if constexpr (std::same_as<T, std::string>) {
        readText(context, out);
    } else if constexpr (std::same_as<T, Base::Duration>) {
        std::int64_t milliseconds = Base::toMilliseconds(out);
        readSigned(context, 0, Base::toMilliseconds(Base::Duration::max()), milliseconds);
        out = std::chrono::milliseconds(milliseconds);
    } else if constexpr (TextIdTrait<T>::value) {
        std::string text = out.value();
        readText(context, text);
        out = T(std::move(text));
    } else if constexpr (NumberTrait<T>::value) {
        typename NumberTrait<T>::Value value = out.value();
        readNumber(context, value);
        out = T(value);
    } else if constexpr (OptionalTrait<T>::value) {
        readValue(context, out.emplace());
    } else if constexpr (ListTrait<T>::value) {
        readList(context, out);
    } else if constexpr (MapTrait<T>::value) {
        readMap(context, out);
    } else if constexpr (std::is_enum_v<T>) {
        readEnum(context, out);
    } else {
        MapReader map(context.reader, context.node, context.path);
        readFields(map, out);
        map.finish();
    }
}

} // namespace Internal

template<typename T>
void MapReader::field(std::string_view key, T &out, const FieldRule &rule)
{
    const Entry *entry = find(key);
    if (!entry) {
        if (rule.required)
            addMissing(key);
        return;
    }
    Internal::readValue(Internal::ValueContext{m_reader, entry->value, pathOf(key), rule}, out);
}

/// Reads settings from text; `file` is used only in error texts.
template<typename T>
ReadResult<T> readSettingsText(const std::string &file, const std::string &text)
{
    YamlReader reader(file);
    const std::vector<YAML::Node> documents = reader.parse(text);
    if (documents.size() > 1)
        reader.addError(documents[1], "a second document; settings are one YAML document");
    T settings;
    if (!documents.empty()) {
        MapReader map(reader, documents.front(), {});
        readFields(map, settings);
        map.finish();
    } else if (reader.errors().empty()) {
        reader.addError(1, "the file is empty; give at least the required keys");
    }
    if (!reader.errors().empty())
        return reader.takeErrors();
    return settings;
}

/// Reads a settings file.
template<typename T>
ReadResult<T> readSettingsFile(const std::string &path)
{
    ReadResult<std::string> text = readTextFile(path);
    if (!text)
        return text.error();
    return readSettingsText<T>(path, text.value());
}

} // namespace Lagoonbank::Schema
