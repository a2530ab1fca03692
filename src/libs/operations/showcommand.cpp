#include "operations/showcommand.h"

#include "operations/texts.h"
#include "schema/jsonwriter.h"

#include <absl/strings/str_cat.h>

namespace Lagoonbank::Operations {

namespace {

Json entryJson(const Schema::ObjectState &entry)
{
    return {{"kind", Schema::toString(entry.kind)},
            {"name", entry.name},
            {"revision", entry.revision.value()},
            {"offset", entry.offset.value()},
            {"publisher", entry.publisher},
            {"record", entry.recordId},
            {"file", absl::StrCat(entry.file, ":", entry.line)}};
}

} // namespace

Report ShowCommand::report() const
{
    if (m_options.kind && !m_options.name.empty())
        return one({*m_options.kind, m_options.name});
    return list();
}

Report ShowCommand::list() const
{
    Report report;
    report.json["objects"] = Json::array();
    for (const auto &[key, object] : log().objects().objects()) {
        if (m_options.kind && key.kind != *m_options.kind)
            continue;
        const Schema::ObjectState &entry = *log().entry(key);
        report.json["objects"].push_back(entryJson(entry));
        absl::StrAppend(&report.text, toString(key), " revision ", entry.revision.value(), " by ",
                        entry.publisher, "\n");
    }
    return report;
}

Report ShowCommand::one(const Configuration::ObjectKey &key) const
{
    const Schema::ObjectState *entry = log().entry(key);
    const Schema::ConfigurationObject *object = log().objects().find(key);
    if (!entry) {
        return failure(ExitStatus::NotFound,
                       "There is no " + toString(key)
                           + "; `lagoonbank-ctl show` lists the objects that exist.");
    }
    if (entry->removed || !object) {
        return failure(ExitStatus::NotFound,
                       absl::StrCat(toString(key), " was removed by ", entry->publisher,
                                    " with revision ", entry->revision.value(), "."));
    }
    Report report;
    report.json = entryJson(*entry);
    report.json["object"] = Schema::toJson(*object);
    report.text =
        absl::StrCat("# revision ", entry->revision.value(), ", offset ", entry->offset.value(),
                     ", by ", entry->publisher, ", from ", entry->file, ":", entry->line, "\n",
                     Schema::toYamlText(Schema::toJson(*object)));
    if (!report.text.ends_with('\n'))
        report.text += '\n';
    return report;
}

} // namespace Lagoonbank::Operations
