#include "schema/yamlreader.h"

#include "schema/textformat.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Lagoonbank::Schema {

namespace {

constexpr std::string_view plainTag = "?";

template<typename T>
std::optional<T> parseNumber(const std::string &text)
{
    T value{};
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return value;
}

std::string numberText(double value)
{
    if (value == std::floor(value) && std::abs(value) < 1e15)
        return std::to_string(static_cast<std::int64_t>(value));
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    return text;
}

std::string rangeText(std::string_view what, const FieldRule &rule)
{
    const bool hasMin = rule.min != std::numeric_limits<double>::lowest();
    const bool hasMax = rule.max != std::numeric_limits<double>::max();
    std::string text = "give " + std::string(what);
    if (hasMin && hasMax)
        return text + " from " + numberText(rule.min) + " to " + numberText(rule.max);
    if (hasMin)
        return text + " of at least " + numberText(rule.min);
    if (hasMax)
        return text + " of at most " + numberText(rule.max);
    return text;
}

/// Returns the value as it appears in an error text.
std::string displayText(const Internal::ValueContext &context)
{
    constexpr std::size_t maxLength = 60;
    if (context.rule.secret)
        return "the value";
    if (!context.node.IsScalar())
        return context.node.IsSequence() ? "a list" : context.node.IsMap() ? "a map" : "nothing";
    return context.node.Scalar().substr(0, maxLength);
}

void addError(const Internal::ValueContext &context, const std::string &text)
{
    context.reader.addError(context.node, context.path + ": " + text);
}

bool isPlainScalar(const YAML::Node &node)
{
    return node.IsScalar() && node.Tag() == plainTag;
}

void addTypeError(const Internal::ValueContext &context, std::string_view what)
{
    addError(context,
             displayText(context) + " is not " + std::string(what) + "; "
                 + rangeText(what, context.rule));
}

template<typename T>
bool isInRange(const Internal::ValueContext &context, T value, std::string_view what)
{
    const auto number = static_cast<double>(value);
    if (number >= context.rule.min && number <= context.rule.max)
        return true;
    const bool isBelow = number < context.rule.min;
    const double bound = isBelow ? context.rule.min : context.rule.max;
    addError(context,
             displayText(context) + " is " + (isBelow ? "below " : "above ") + numberText(bound)
                 + "; " + rangeText(what, context.rule));
    return false;
}

std::string joinNames(const std::vector<std::string_view> &names)
{
    std::string text;
    for (const std::string_view name : names)
        text += (text.empty() ? "" : ", ") + std::string(name);
    return text;
}

/// Returns "did you mean x?" with the most similar name, or the list of all names if none is
/// similar.
std::string suggestion(std::string_view wrong, const std::vector<std::string_view> &names)
{
    const std::optional<std::string_view> nearest = nearestName(wrong, names);
    if (nearest)
        return "did you mean " + std::string(*nearest) + "?";
    return "give one of: " + joinNames(names);
}

} // namespace

std::vector<YAML::Node> YamlReader::parse(const std::string &text)
{
    try {
        std::vector<YAML::Node> documents = YAML::LoadAll(text);
        std::erase_if(documents, [](const YAML::Node &node) { return !node || node.IsNull(); });
        return documents;
    } catch (const YAML::Exception &error) {
        const int line = error.mark.is_null() ? 0 : error.mark.line;
        addError(m_firstLine + line, "not valid YAML: " + error.msg);
    } catch (const std::exception &error) {
        addError(m_firstLine, std::string("not valid YAML: ") + error.what());
    }
    return {};
}

int YamlReader::line(const YAML::Node &node) const
{
    const YAML::Mark mark = node.Mark();
    return m_firstLine + std::max(0, mark.line);
}

void YamlReader::addError(int line, std::string text)
{
    m_errors.push_back({m_file, line, std::move(text)});
}

MapReader::MapReader(YamlReader &reader, const YAML::Node &node, std::string path)
    : m_reader(reader)
    , m_path(std::move(path))
    , m_line(reader.line(node))
{
    m_isMap = node.IsMap();
    if (m_isMap)
        collect(node);
    else
        reader.addError(node,
                        (m_path.empty() ? "the document" : m_path)
                            + " is not a map; give keys with values");
}

void MapReader::collect(const YAML::Node &node)
{
    for (const auto &entry : node) {
        if (!entry.first.IsScalar()) {
            m_reader.addError(entry.first, "a key is not a text; give a name as key");
            continue;
        }
        const std::string &key = entry.first.Scalar();
        const auto [first, isInserted] = m_lines.emplace(key, m_reader.line(entry.first));
        if (!isInserted) {
            m_reader.addError(entry.first,
                              pathOf(key) + ": given twice, first on line "
                                  + std::to_string(first->second) + "; keep one");
            continue;
        }
        m_entries.push_back({key, entry.first, entry.second});
    }
}

const MapReader::Entry *MapReader::find(std::string_view key)
{
    m_knownKeys.emplace_back(key);
    const auto it = std::ranges::find(m_entries, key, &Entry::key);
    return it == m_entries.end() ? nullptr : &*it;
}

std::string MapReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void MapReader::addMissing(std::string_view key)
{
    if (m_isMap)
        m_reader.addError(m_line, pathOf(key) + ": missing; add this key");
}

std::optional<std::string> MapReader::scalar(std::string_view key)
{
    const Entry *entry = find(key);
    if (!entry || !entry->value.IsScalar())
        return std::nullopt;
    return entry->value.Scalar();
}

void MapReader::finish()
{
    const std::vector<std::string_view> names(m_knownKeys.begin(), m_knownKeys.end());
    for (const Entry &entry : m_entries) {
        if (std::ranges::find(m_knownKeys, entry.key) == m_knownKeys.end())
            m_reader.addError(entry.keyNode,
                              pathOf(entry.key) + ": unknown key; " + suggestion(entry.key, names));
    }
}

namespace Internal {

void readBool(const ValueContext &context, bool &out)
{
    const bool isTrue = isPlainScalar(context.node) && context.node.Scalar() == "true";
    const bool isFalse = isPlainScalar(context.node) && context.node.Scalar() == "false";
    if (!isTrue && !isFalse)
        addError(context, displayText(context) + " is not a truth value; give true or false");
    else
        out = isTrue;
}

void readText(const ValueContext &context, std::string &out)
{
    if (!context.node.IsScalar()) {
        addError(context, displayText(context) + " is not a text; give a text");
        return;
    }
    const std::string &text = context.node.Scalar();
    if (!hasFormat(text, context.rule.format)) {
        addError(context,
                 (text.empty() ? "the empty text" : displayText(context)) + " is not "
                     + std::string(describe(context.rule.format)));
        return;
    }
    if (text.empty() && context.rule.required) {
        addError(context, "the empty text; give a text");
        return;
    }
    out = text;
}

void readDouble(const ValueContext &context, double &out)
{
    const std::optional<double> value =
        isPlainScalar(context.node) ? parseNumber<double>(context.node.Scalar()) : std::nullopt;
    if (!value || !std::isfinite(*value))
        addTypeError(context, "a number");
    else if (isInRange(context, *value, "a number"))
        out = *value;
}

void readSigned(const ValueContext &context, std::int64_t minValue, std::int64_t maxValue,
                std::int64_t &out)
{
    const std::optional<std::int64_t> value = isPlainScalar(context.node)
        ? parseNumber<std::int64_t>(context.node.Scalar())
        : std::nullopt;
    if (!value)
        addTypeError(context, "a whole number");
    else if (!isInRange(context, *value, "a whole number"))
        return;
    else if (*value < minValue || *value > maxValue)
        addTypeError(context, "a whole number in the range of this field");
    else
        out = *value;
}

void readUnsigned(const ValueContext &context, std::uint64_t maxValue, std::uint64_t &out)
{
    const bool isPlain = isPlainScalar(context.node);
    const std::optional<std::uint64_t> value =
        isPlain ? parseNumber<std::uint64_t>(context.node.Scalar()) : std::nullopt;
    const std::optional<std::int64_t> negative =
        isPlain ? parseNumber<std::int64_t>(context.node.Scalar()) : std::nullopt;
    if (!value && negative) {
        FieldRule rule = context.rule;
        rule.min = std::max(0.0, rule.min);
        isInRange(ValueContext{context.reader, context.node, context.path, rule}, *negative,
                  "a whole number");
    } else if (!value) {
        addTypeError(context, "a whole number");
    } else if (!isInRange(context, *value, "a whole number")) {
        return;
    } else if (*value > maxValue) {
        addTypeError(context, "a whole number in the range of this field");
    } else {
        out = *value;
    }
}

std::optional<std::size_t> readChoice(const ValueContext &context,
                                      const std::vector<std::string_view> &names)
{
    if (!context.node.IsScalar()) {
        addError(context,
                 displayText(context) + " is not a text; give one of: " + joinNames(names));
        return std::nullopt;
    }
    const auto it = std::ranges::find(names, context.node.Scalar());
    if (it != names.end())
        return static_cast<std::size_t>(it - names.begin());
    addError(context,
             displayText(context) + " is unknown; " + suggestion(context.node.Scalar(), names));
    return std::nullopt;
}

bool checkSequence(const ValueContext &context)
{
    if (!context.node.IsSequence()) {
        addError(context,
                 displayText(context) + " is not a list; give a list ([a, b] or lines of - a)");
        return false;
    }
    const std::size_t size = context.node.size();
    if (size < context.rule.minItems) {
        addError(context,
                 "has " + std::to_string(size) + " items; give at least "
                     + std::to_string(context.rule.minItems));
    } else if (size > context.rule.maxItems) {
        addError(context,
                 "has " + std::to_string(size) + " items; give at most "
                     + std::to_string(context.rule.maxItems));
        return false;
    }
    return true;
}

bool checkMap(const ValueContext &context)
{
    if (context.node.IsMap())
        return true;
    addError(context, displayText(context) + " is not a map; give names with values");
    return false;
}

std::optional<std::string> readMapKey(const ValueContext &context, const YAML::Node &key)
{
    if (key.IsScalar() && !key.Scalar().empty())
        return key.Scalar();
    context.reader.addError(key, context.path + ": a key is not a text; give a name as key");
    return std::nullopt;
}

} // namespace Internal

} // namespace Lagoonbank::Schema
