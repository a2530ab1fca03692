#pragma once

#include "schema/generated/configuration.h"
#include "schema/settingserror.h"

#include <string>
#include <vector>

namespace Lagoonbank::Schema {

/// One object with the YAML text that it was read from.
struct ObjectDocument
{
    ConfigurationObject object;
    std::string text; ///< The document alone, beginning at `line`.
    int line = 1; ///< First line of `text` in the file.
};

ObjectKind kindOf(const ConfigurationObject &object);
const std::string &nameOf(const ConfigurationObject &object);
const Source &sourceOf(const ConfigurationObject &object);
nlohmann::ordered_json toJson(const ConfigurationObject &object);

/// Reads the objects of a text, one a YAML document. `firstLine` is the line of `file` on which
/// the text begins.
ReadResult<std::vector<ObjectDocument>> readObjects(const std::string &file,
                                                    const std::string &text, int firstLine = 1);

/// Reads the text of exactly one object.
ReadResult<ConfigurationObject> readObject(const std::string &file, const std::string &text,
                                           int firstLine = 1);

/// Reads the JSON text of one object, as toJson() writes it. Safe for text from outside: it never
/// reaches the YAML parser, which some malformed texts send into an endless loop. `source` tells
/// where the object was written.
ReadResult<ConfigurationObject> readObjectJson(const std::string &json, const Source &source);

/// Reads a file, or all `.yaml` files below a folder in the order of their names.
ReadResult<std::vector<ObjectDocument>> readObjectFiles(const std::string &path);

} // namespace Lagoonbank::Schema
