#pragma once

#include "configuration/objecttable.h"
#include "configuration/record.h"
#include "errors/result.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Configuration {

/// What became of one change.
enum class Verdict : std::uint8_t {
    Accepted,
    Repeated, ///< The same record was accepted before; nothing changes.
    Stale, ///< Another change of the object came first.
    Invalid, ///< The object, or a reference to or from it, is wrong.
    Malformed, ///< The record cannot be read.
    NewerVersion ///< The record was written by a newer program.
};

std::string_view toString(Verdict verdict);
std::ostream &operator<<(std::ostream &stream, Verdict verdict);

/// One change and what became of it.
struct Judgement
{
    Base::LogOffset offset;
    std::string recordId;
    Verdict verdict = Verdict::Malformed;
    std::optional<ObjectKey> key; ///< Not known of what cannot be read.
    std::string publisher;
    Base::Revision base;
    Base::Revision revision; ///< Of the object after this record.
    std::string winner; ///< Of a stale change: who published the revision that stands.
    std::string detail;
    std::string time; ///< Hybrid time that the record carries; empty if none.
};

/// The configuration after all records before some offset. The verdict on a change follows from
/// the state alone, so that every reader comes to the same one wherever it began to read.
class State
{
public:
    using Entries = std::map<ObjectKey, Schema::ObjectState>;

    /// Judges the change and takes it in if it is accepted.
    Judgement apply(const LogRecord &record, const ChangeRecord &change);

    /// Puts `objects` in place of what is held of them; with `isAll` nothing else stays. Fails,
    /// and changes nothing, if an object would go back or if the hash does not come out.
    Errors::Result<void> adopt(const std::vector<Schema::ObjectState> &objects, bool isAll,
                               std::uint64_t expectedHash);

    const ObjectTable &table() const { return m_table; }
    /// Removed objects are among them, so that their revisions never start again.
    const Entries &entries() const { return m_entries; }
    /// Revision 0 for an object that never was.
    Base::Revision revision(const ObjectKey &key) const;
    /// Objects that changed at the offset or later.
    std::vector<Schema::ObjectState> changedSince(Base::LogOffset offset) const;
    /// The same for equal states whatever the order in which they came about.
    std::uint64_t hash() const;

private:
    void judge(const LogRecord &record, const ChangeRecord &change, Judgement &judgement,
               std::optional<Schema::ConfigurationObject> &object) const;
    void storeChange(const LogRecord &record, const ChangeRecord &change,
                     std::optional<Schema::ConfigurationObject> object);
    Errors::Result<void> checkNotOlder(const State &next) const;
    void put(const Schema::ObjectState &object);

    Entries m_entries;
    ObjectTable m_table;
};

} // namespace Lagoonbank::Configuration
