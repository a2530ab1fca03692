#pragma once

#include "configuration/objecttable.h"
#include "schema/objectreader.h"

#include <string>
#include <vector>

namespace Lagoonbank::Operations {

using Documents = std::vector<Schema::ObjectDocument>;

/// All objects of the files and folders, or every mistake in them.
Schema::ReadResult<Documents> readPaths(const std::vector<std::string> &paths);

/// What is wrong with the documents on top of what `table` holds.
Schema::SettingsErrors checkWithExisting(const Documents &documents,
                                         const Configuration::ObjectTable &table);

/// Sorts the documents so that each comes after those that it names.
void sortForPublishing(Documents &documents);

} // namespace Lagoonbank::Operations
