#pragma once

#include "errors/result.h"

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include <yaml-cpp/yaml.h>

namespace Lagoonbank::Experiment::Internal {

/// Error in a YAML file; what() is "file:line: message".
class FileError : public std::exception
{
public:
    explicit FileError(std::string text)
        : m_text(std::move(text))
    { }
    const char *what() const noexcept override { return m_text.c_str(); }

private:
    std::string m_text;
};

/// A YAML node together with its file name. Errors are thrown as FileError and name file and line.
class YamlReader
{
public:
    static YamlReader load(const std::string &file);

    YamlReader(std::string file, const YAML::Node &node, std::string key)
        : m_file(std::move(file))
        , m_node(node)
        , m_key(std::move(key))
    { }

    const std::string &file() const { return m_file; }
    const YAML::Node &node() const { return m_node; }
    bool has(const char *key) const { return m_node.IsMap() && m_node[key].IsDefined(); }
    /// The child \a key; fails if it is missing.
    YamlReader at(const char *key) const;
    YamlReader item(std::size_t index) const;
    std::size_t size() const { return m_node.size(); }

    /// Fails unless this node is a map that only has keys of \a allowedKeys, each at most once.
    void expectMap(std::initializer_list<std::string_view> allowedKeys) const;
    void expectList() const;

    std::string text() const;
    double number(double min, double max) const;
    std::int64_t integer(std::int64_t min, std::int64_t max) const;
    bool flag() const;

    std::string text(const char *key, std::string fallback) const;
    double number(const char *key, double fallback, double min, double max) const;
    bool flag(const char *key, bool fallback) const;

    [[noreturn]] void fail(const std::string &what) const;

private:
    std::string m_file;
    YAML::Node m_node;
    std::string m_key;
};

} // namespace Lagoonbank::Experiment::Internal
