#pragma once

#include "configuration/objecttable.h"
#include "configuration/record.h"
#include "errors/result.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Configuration {

/// The outcome of one change.
enum class Verdict : std::uint8_t {
    Accepted,
    Repeated, ///< The same record was accepted before; the state does not change.
    Stale, ///< The change is not based on the object's current revision.
    Invalid, ///< The object, or a reference to or from it, is wrong.
    Malformed, ///< The record cannot be read.
    NewerVersion ///< The record was written by a newer program.
};

std::string_view toString(Verdict verdict);
std::ostream &operator<<(std::ostream &stream, Verdict verdict);

/// The result of applying one change record.
struct ChangeResult
{
    Base::LogOffset offset;
    std::string recordId;
    Verdict verdict = Verdict::Malformed;
    std::optional<ObjectKey> key; ///< Not set if the record cannot be read.
    std::string publisher;
    Base::Revision base; ///< Revision that the change replaces.
    Base::Revision revision; ///< Revision of the object after this record.
    std::string winner; ///< For a stale change: publisher of the current revision.
    std::string detail;
    std::string time; ///< Hybrid time of the record; empty if it has none.
};

/// The configuration after all records before some offset. The verdict on a change depends only on
/// the state, so that all readers reach the same verdict wherever they started to read.
class State
{
public:
    using Entries = std::map<ObjectKey, Schema::ObjectState>;

    /// Determines the verdict on the change and applies the change if it is accepted.
    ChangeResult apply(const LogRecord &record, const ChangeRecord &change);

    /// Replaces the given objects. With `isAll`, all other objects are dropped. Fails without any
    /// change if an object would revert to an earlier revision or if the hash does not match.
    Errors::Result<void> adopt(const std::vector<Schema::ObjectState> &objects, bool isAll,
                               std::uint64_t expectedHash);

    const ObjectTable &table() const { return m_table; }
    /// All objects. Removed ones are included, so that their revision numbers are never reused.
    const Entries &entries() const { return m_entries; }
    /// The current revision of an object; 0 if it never existed.
    Base::Revision revision(const ObjectKey &key) const;
    /// Objects last changed by a record at \a offset or later.
    std::vector<Schema::ObjectState> changedSince(Base::LogOffset offset) const;
    /// Hash of the state. Equal states have equal hashes, whichever inputs led to them.
    std::uint64_t hash() const;

private:
    void validate(const LogRecord &record, const ChangeRecord &change, ChangeResult &result,
                  std::optional<Schema::ConfigurationObject> &object) const;
    void storeChange(const LogRecord &record, const ChangeRecord &change,
                     std::optional<Schema::ConfigurationObject> object);
    Errors::Result<void> checkNotOlder(const State &next) const;
    void put(const Schema::ObjectState &object);

    Entries m_entries;
    ObjectTable m_table;
};

} // namespace Lagoonbank::Configuration
