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

/// Name of the log's stream.
inline constexpr std::string_view streamName = "configuration";
/// Version of the records' form; records of a higher one are skipped.
inline constexpr int recordVersion = 1;
/// Longest record that is read.
inline constexpr std::size_t maxRecordBytes = 512 * 1024;
/// Longest body of one object; it fits a record even if every byte has to be escaped.
inline constexpr std::size_t maxBodyBytes = 64 * 1024;

/// A record of the configuration stream.
struct LogRecord
{
    Base::LogOffset offset;
    std::string id; ///< Unique for each change; the same when its append is repeated.
    std::string data;
};

/// One change of one object, valid only on top of the revision it was based on.
struct ChangeRecord
{
    ObjectKey key;
    Base::Revision base; ///< 0 for an object that never was.
    std::string publisher;
    bool removes = false;
    std::string file; ///< Where the body was written, for messages.
    std::uint32_t line = 1; ///< Line of the file on which the object begins.
    std::map<std::string, std::uint32_t> lines; ///< Line of each field that was written.
    std::string body; ///< JSON text of the object.
    /// Hybrid time of the publisher as text; empty if it told none. No verdict depends on it.
    std::string time;

    bool operator==(const ChangeRecord &) const = default;
};

/// One part of a snapshot: the configuration after all records before `through`.
struct SnapshotPart
{
    std::string snapshot; ///< Id that all parts share.
    std::string writer;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    Base::LogOffset through;
    std::uint64_t hash = 0; ///< Of the whole state.
    std::vector<Schema::ObjectState> objects;

    bool operator==(const SnapshotPart &) const = default;
};

using Record = std::variant<ChangeRecord, SnapshotPart>;

/// The change that puts the object in the place of its revision `base`.
ChangeRecord makeChange(const Schema::ConfigurationObject &object, Base::Revision base,
                        const std::string &publisher);

std::string encode(const ChangeRecord &change);
std::string encode(const SnapshotPart &part);

/// BadMessage for what cannot be read, WrongVersion for what a newer program wrote.
Errors::Result<Record> decode(const std::string &data);

} // namespace Lagoonbank::Configuration
