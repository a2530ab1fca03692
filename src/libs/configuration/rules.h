#pragma once

#include "configuration/objecttable.h"
#include "schema/settingserror.h"

#include <vector>

/// Rules that go beyond one field. The same rules judge files before they are published and
/// records of the log.
namespace Lagoonbank::Configuration {

/// What is wrong within one object.
Schema::SettingsErrors checkObject(const Schema::ConfigurationObject &object);

/// What the object names that `table` does not hold, and bearer keys that another contract has.
Schema::SettingsErrors checkReferences(const Schema::ConfigurationObject &object,
                                       const ObjectTable &table);

/// Why the object cannot be removed: another one names it.
Schema::SettingsErrors checkRemoval(const ObjectKey &key, const ObjectTable &table);

/// Everything wrong with a whole set of objects, their references included.
Schema::SettingsErrors checkAll(const std::vector<Schema::ObjectDocument> &documents);

/// The order in which objects of the kinds can be published one after the other.
std::vector<Schema::ObjectKind> publishOrder();

/// A table of the documents, or everything that is wrong with them.
Schema::ReadResult<ObjectTable> makeTable(const std::vector<Schema::ObjectDocument> &documents);

} // namespace Lagoonbank::Configuration
