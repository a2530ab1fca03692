#include "operations/objectfiles.h"

#include "configuration/rules.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace Lagoonbank::Operations {

using Configuration::ObjectKey;

Schema::ReadResult<Documents> readPaths(const std::vector<std::string> &paths)
{
    Documents documents;
    Schema::SettingsErrors errors;
    for (const std::string &path : paths) {
        auto read = Schema::readObjectFiles(path);
        if (read)
            std::ranges::move(read.value(), std::back_inserter(documents));
        else
            std::ranges::copy(read.error(), std::back_inserter(errors));
    }
    if (!errors.empty())
        return errors;
    return documents;
}

Schema::SettingsErrors checkWithExisting(const Documents &documents,
                                         const Configuration::ObjectTable &table)
{
    std::set<ObjectKey> keysInFiles;
    for (const Schema::ObjectDocument &document : documents)
        keysInFiles.insert(Configuration::keyOf(document.object));
    Documents all = documents;
    for (const auto &[key, object] : table.objects()) {
        if (!keysInFiles.contains(key))
            all.push_back({.object = *object});
    }
    return Configuration::checkAll(all);
}

void sortForPublishing(Documents &documents)
{
    const std::vector<Schema::ObjectKind> order = Configuration::publishOrder();
    const auto publishPosition = [&order](const Schema::ObjectDocument &document) {
        return std::ranges::find(order, Schema::kindOf(document.object)) - order.begin();
    };
    std::ranges::stable_sort(documents, {}, publishPosition);
}

} // namespace Lagoonbank::Operations
