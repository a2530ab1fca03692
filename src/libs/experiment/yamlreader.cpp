#include "experiment/yamlreader.h"

#include "experiment/textparts.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace Lagoonbank::Experiment::Internal {

YamlReader YamlReader::load(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream)
        throw FileError(joined(file, ":1: cannot be read"));
    std::stringstream text;
    text << stream.rdbuf();
    try {
        return {file, YAML::Load(text.str()), "file"};
    } catch (const YAML::ParserException &error) {
        throw FileError(joined(file, ":", error.mark.line + 1, ": ", error.msg));
    }
}

YamlReader YamlReader::at(const char *key) const
{
    if (!has(key))
        fail(joined("key '", key, "' is missing"));
    return {m_file, m_node[key], key};
}

YamlReader YamlReader::item(std::size_t index) const
{
    return {m_file, m_node[index], joined(m_key, "[", index, "]")};
}

void YamlReader::expectMap(std::initializer_list<std::string_view> allowedKeys) const
{
    if (!m_node.IsMap())
        fail(joined("'", m_key, "' must be a map"));
    std::set<std::string> seenKeys;
    for (const auto &entry : m_node) {
        const auto key = entry.first.as<std::string>();
        const YamlReader keyReader(m_file, entry.first, key);
        if (std::find(allowedKeys.begin(), allowedKeys.end(), key) == allowedKeys.end())
            keyReader.fail(joined("unknown key '", key, "'"));
        if (!seenKeys.insert(key).second)
            keyReader.fail(joined("key '", key, "' is there twice"));
    }
}

void YamlReader::expectList() const
{
    if (!m_node.IsSequence())
        fail(joined("'", m_key, "' must be a list"));
}

std::string YamlReader::text() const
{
    if (!m_node.IsScalar() || m_node.Scalar().empty())
        fail(joined("'", m_key, "' must be a text"));
    return m_node.Scalar();
}

double YamlReader::number(double min, double max) const
{
    double value = 0;
    if (!YAML::convert<double>::decode(m_node, value) || !std::isfinite(value))
        fail(joined("'", m_key, "' must be a number"));
    if (value < min || value > max)
        fail(joined("'", m_key, "' must be from ", min, " to ", max));
    return value;
}

std::int64_t YamlReader::integer(std::int64_t min, std::int64_t max) const
{
    std::int64_t value = 0;
    if (!YAML::convert<std::int64_t>::decode(m_node, value))
        fail(joined("'", m_key, "' must be a whole number"));
    if (value < min || value > max)
        fail(joined("'", m_key, "' must be from ", min, " to ", max));
    return value;
}

bool YamlReader::flag() const
{
    bool value = false;
    if (!YAML::convert<bool>::decode(m_node, value))
        fail(joined("'", m_key, "' must be true or false"));
    return value;
}

std::string YamlReader::text(const char *key, std::string fallback) const
{
    return has(key) ? at(key).text() : std::move(fallback);
}

double YamlReader::number(const char *key, double fallback, double min, double max) const
{
    return has(key) ? at(key).number(min, max) : fallback;
}

bool YamlReader::flag(const char *key, bool fallback) const
{
    return has(key) ? at(key).flag() : fallback;
}

void YamlReader::fail(const std::string &what) const
{
    throw FileError(joined(m_file, ":", m_node.Mark().line + 1, ": ", what));
}

} // namespace Lagoonbank::Experiment::Internal
