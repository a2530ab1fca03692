#pragma once

#include "configuration/objecttable.h"
#include "schema/objectreader.h"

#include <string>
#include <vector>

namespace Lagoonbank::Operations {

using Documents = std::vector<Schema::ObjectDocument>;

/// Reads all objects from the files and folders. Returns all errors in them if there are any.
Schema::ReadResult<Documents> readPaths(const std::vector<std::string> &paths);

/// Checks the documents together with the objects in `table` that they do not replace.
Schema::SettingsErrors checkWithExisting(const Documents &documents,
                                         const Configuration::ObjectTable &table);

/// Sorts the documents so that each object follows the objects that it refers to.
void sortForPublishing(Documents &documents);

} // namespace Lagoonbank::Operations
