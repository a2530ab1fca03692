#pragma once

#include "schema/generated/configuration.h"
#include "schema/settingserror.h"

#include <string>
#include <vector>

namespace Lagoonbank::Schema {

/// Object with the YAML text from which it was read.
struct ObjectDocument
{
    ConfigurationObject object;
    std::string text; ///< Text of this YAML document only.
    int line = 1; ///< First line of `text` in the file.
};

ObjectKind kindOf(const ConfigurationObject &object);
const std::string &nameOf(const ConfigurationObject &object);
const Source &sourceOf(const ConfigurationObject &object);
nlohmann::ordered_json toJson(const ConfigurationObject &object);

/// Reads all objects of a text. Each is a YAML document. `firstLine` is the line of `file` at which
/// the text begins.
ReadResult<std::vector<ObjectDocument>> readObjects(const std::string &file,
                                                    const std::string &text, int firstLine = 1);

/// Reads a text with exactly one object.
ReadResult<ConfigurationObject> readObject(const std::string &file, const std::string &text,
                                           int firstLine = 1);

/// Reads the JSON text of one object, as toJson() writes it. Safe for untrusted text, as it does
/// not use the YAML parser, which enters an endless loop on some malformed texts. `source` becomes
/// the source of the object.
ReadResult<ConfigurationObject> readObjectJson(const std::string &json, const Source &source);

/// Reads a file, or all `.yaml` and `.yml` files below a folder, ordered by path.
ReadResult<std::vector<ObjectDocument>> readObjectFiles(const std::string &path);

} // namespace Lagoonbank::Schema
