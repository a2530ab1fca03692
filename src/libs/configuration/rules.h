#pragma once

#include "configuration/objecttable.h"
#include "schema/settingserror.h"

#include <vector>

/// Validation rules that involve more than one field. They apply both to files before publishing
/// and to records of the log.
namespace Lagoonbank::Configuration {

/// Errors within one object.
Schema::SettingsErrors checkObject(const Schema::ConfigurationObject &object);

/// References of the object to objects that `table` does not contain, and bearer keys that belong
/// to another contract.
Schema::SettingsErrors checkReferences(const Schema::ConfigurationObject &object,
                                       const ObjectTable &table);

/// References of other objects that prevent the removal of the object.
Schema::SettingsErrors checkRemoval(const ObjectKey &key, const ObjectTable &table);

/// All errors of a set of objects, including their references.
Schema::SettingsErrors checkAll(const std::vector<Schema::ObjectDocument> &documents);

/// The order of kinds in which objects can be published, so that references are always satisfied.
std::vector<Schema::ObjectKind> publishOrder();

/// A table of the documents' objects, or all their errors.
Schema::ReadResult<ObjectTable> makeTable(const std::vector<Schema::ObjectDocument> &documents);

} // namespace Lagoonbank::Configuration
