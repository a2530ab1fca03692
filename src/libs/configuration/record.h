#pragma once

#include "base/ids.h"
#include "configuration/objecttable.h"
#include "errors/result.h"
#include "schema/generated/configurationsync.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace Lagoonbank::Configuration {

/// Name of the log stream that holds the configuration.
inline constexpr std::string_view streamName = "configuration";
/// Version of the record format. Records of a higher version are skipped.
inline constexpr int recordVersion = 1;
/// Maximum size of a record that is read.
inline constexpr std::size_t maxRecordBytes = 512 * 1024;
/// Maximum size of an object's body. It fits into a record even if every byte has to be escaped.
inline constexpr std::size_t maxBodyBytes = 64 * 1024;

/// A record of the configuration stream.
struct LogRecord
{
    Base::LogOffset offset;
    std::string id; ///< Unique for each change; unchanged if its append is repeated.
    std::string data;
};

/// A change of one object. It is valid only if the object is still at the revision `base`.
struct ChangeRecord
{
    ObjectKey key;
    Base::Revision base; ///< Revision that the change replaces; 0 if the object never existed.
    std::string publisher;
    bool removes = false;
    std::string file; ///< File that the body was read from, for messages.
    std::uint32_t line = 1; ///< Line of the file on which the object begins.
    std::map<std::string, std::uint32_t> lines; ///< Line of each field in the file.
    std::string body; ///< JSON text of the object.
    /// Hybrid time of the publisher as text; empty if not known. No verdict depends on it.
    std::string time;

    bool operator==(const ChangeRecord &) const = default;
};

/// One part of a snapshot, which is the configuration after all records before `through`.
struct SnapshotPart
{
    std::string snapshot; ///< Id of the snapshot, the same in all parts.
    std::string writer;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    Base::LogOffset through;
    std::uint64_t hash = 0; ///< Hash of the complete state.
    std::vector<Schema::ObjectState> objects;

    bool operator==(const SnapshotPart &) const = default;
};

using Record = std::variant<ChangeRecord, SnapshotPart>;

/// Creates the change that replaces revision `base` of the object.
ChangeRecord makeChange(const Schema::ConfigurationObject &object, Base::Revision base,
                        const std::string &publisher);

std::string encode(const ChangeRecord &change);
std::string encode(const SnapshotPart &part);

/// Fails with BadMessage for a malformed record and with WrongVersion for a record written by a
/// newer program.
Errors::Result<Record> decode(const std::string &data);

} // namespace Lagoonbank::Configuration
