#pragma once

#include "configuration/reducer.h"

#include <string>
#include <vector>

namespace Lagoonbank::Configuration {

/// An in-memory log with helpers to append records.
class TestLog
{
public:
    Base::LogOffset append(const std::string &id, const std::string &data)
    {
        const Base::LogOffset offset(records.size());
        records.push_back({offset, id, data});
        return offset;
    }
    Base::LogOffset append(const std::string &id, const ChangeRecord &change)
    {
        return append(id, encode(change));
    }
    void append(const std::vector<SnapshotPart> &parts)
    {
        for (const SnapshotPart &part : parts)
            append(part.snapshot + "-" + std::to_string(part.part), encode(part));
    }
    /// Makes the reducer read up to the end, as if the log started at `first`.
    void readInto(Reducer &reducer, std::size_t first = 0) const
    {
        reducer.gapFound(Base::LogOffset(first));
        for (std::size_t i = first; i < records.size(); ++i)
            reducer.recordRead(records[i]);
        reducer.endReached();
    }

    std::vector<LogRecord> records;
};

/// A change to the object that the YAML text describes.
inline ChangeRecord changeTo(const std::string &file, const std::string &text, std::uint64_t base,
                             const std::string &publisher = "ann")
{
    return makeChange(Schema::readObject(file, text).value(), Base::Revision(base), publisher);
}

/// A change to a data centre; `region` distinguishes changes.
inline ChangeRecord dataCentreChange(const std::string &name, std::uint64_t base,
                                     const std::string &region = "r",
                                     const std::string &publisher = "ann")
{
    return changeTo(name + ".yaml",
                    "kind: data_centre\nname: " + name + "\nregion: " + region + "\n", base,
                    publisher);
}

inline ChangeRecord removal(const std::string &name, std::uint64_t base)
{
    return {.key = {Schema::ObjectKind::DataCentre, name},
            .base = Base::Revision(base),
            .publisher = "ann",
            .removes = true,
            .file = name + ".yaml"};
}

inline std::string regionOf(const Reducer &reducer, const std::string &name)
{
    const Schema::DataCentre *found = reducer.objects().dataCentre(Base::DataCentreId(name));
    return found ? found->region.value() : "none";
}

} // namespace Lagoonbank::Configuration
