#include "operations/diffcommand.h"

#include "operations/texts.h"

#include <absl/strings/str_cat.h>

#include <set>

namespace Lagoonbank::Operations {

using Configuration::ObjectKey;

namespace {

std::string textOf(const Json &object, const std::string &field)
{
    const auto found = object.find(field);
    return found == object.end() ? "none" : found->dump();
}

/// Returns `{"field", "from", "to"}` for each top-level field that differs.
Json fieldsThatDiffer(const Json &from, const Json &to)
{
    std::set<std::string> names;
    for (const Json *object : {&from, &to}) {
        for (const auto &item : object->items())
            names.insert(item.key());
    }
    Json fields = Json::array();
    for (const std::string &name : names) {
        const std::string before = textOf(from, name);
        const std::string after = textOf(to, name);
        if (before != after)
            fields.push_back({{"field", name}, {"from", before}, {"to", after}});
    }
    return fields;
}

} // namespace

Report DiffCommand::report() const
{
    auto read = readPaths(m_paths);
    if (!read)
        return fileFailure(read.error());
    const Schema::SettingsErrors errors = checkWithExisting(read.value(), log().objects());
    if (!errors.empty())
        return fileFailure(errors);
    sortForPublishing(read.value());
    Report report;
    report.json["objects"] = Json::array();
    for (const Schema::ObjectDocument &document : read.value())
        addObject(report, document.object);
    addObjectsOnlyInLog(report, read.value());
    return report;
}

void DiffCommand::addObject(Report &report, const Schema::ConfigurationObject &object) const
{
    const ObjectKey key = Configuration::keyOf(object);
    const Schema::ConfigurationObject *current = log().objects().find(key);
    Json item = jsonOf(key);
    if (!current) {
        item["state"] = "new";
        absl::StrAppend(&report.text, "new       ", toString(key), "\n");
    } else if (*current == object) {
        item["state"] = "unchanged";
    } else {
        item["state"] = "changed";
        item["revision"] = log().entry(key)->revision.value();
        item["fields"] = fieldsThatDiffer(Schema::toJson(*current), Schema::toJson(object));
        absl::StrAppend(&report.text, "changed   ", toString(key), " revision ",
                        log().entry(key)->revision.value(), "\n");
        for (const Json &field : item["fields"]) {
            absl::StrAppend(&report.text, "  ", field["field"].get<std::string>(), ": ",
                            field["from"].get<std::string>(), " -> ",
                            field["to"].get<std::string>(), "\n");
        }
    }
    report.json["objects"].push_back(std::move(item));
}

void DiffCommand::addObjectsOnlyInLog(Report &report, const Documents &documents) const
{
    std::set<ObjectKey> keysInFiles;
    for (const Schema::ObjectDocument &document : documents)
        keysInFiles.insert(Configuration::keyOf(document.object));
    for (const auto &[key, object] : log().objects().objects()) {
        if (keysInFiles.contains(key))
            continue;
        Json item = jsonOf(key);
        item["state"] = "only_in_log";
        absl::StrAppend(&report.text, "only in the log ", toString(key), "\n");
        report.json["objects"].push_back(std::move(item));
    }
    if (report.text.empty())
        report.text = "no differences\n";
}

} // namespace Lagoonbank::Operations
