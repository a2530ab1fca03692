#include "operations/historycommand.h"

#include "operations/texts.h"

#include <absl/strings/str_cat.h>

namespace Lagoonbank::Operations {

using Configuration::ChangeResult;

std::string toText(const ChangeResult &result)
{
    std::string line = absl::StrCat("offset ", result.offset.value(), " ",
                                    std::string(Configuration::toString(result.verdict)));
    if (result.key)
        absl::StrAppend(&line, " ", toString(*result.key));
    if (result.revision != Base::Revision())
        absl::StrAppend(&line, " revision ", result.revision.value());
    if (!result.publisher.empty())
        absl::StrAppend(&line, " by ", result.publisher);
    absl::StrAppend(&line, " record ", result.recordId);
    if (!result.winner.empty())
        absl::StrAppend(&line, " conflicts with a change by ", result.winner);
    if (!result.detail.empty())
        absl::StrAppend(&line, ": ", result.detail);
    return line + "\n";
}

Json toJson(const ChangeResult &result)
{
    Json json{{"offset", result.offset.value()},
              {"record", result.recordId},
              {"verdict", Configuration::toString(result.verdict)}};
    if (result.key)
        json.update(jsonOf(*result.key));
    json["publisher"] = result.publisher;
    json["base"] = result.base.value();
    json["revision"] = result.revision.value();
    json["winner"] = result.winner;
    json["detail"] = result.detail;
    return json;
}

Report HistoryCommand::report() const
{
    Report report;
    report.json["first_offset"] = log().first().value();
    report.json["changes"] = Json::array();
    if (log().first() > Base::LogOffset()) {
        absl::StrAppend(&report.text, "records before offset ", log().first().value(),
                        " were removed by retention\n");
    }
    for (const ChangeResult &result : log().reducer().changeResults()) {
        if (m_key && result.key != m_key)
            continue;
        report.text += toText(result);
        report.json["changes"].push_back(toJson(result));
    }
    if (!m_key || !report.json["changes"].empty())
        return report;
    if (log().entry(*m_key)) {
        absl::StrAppend(&report.text, "changes of ", toString(*m_key),
                        " are no longer in the log; see `lagoonbank-ctl show`\n");
        return report;
    }
    return failure(ExitStatus::NotFound,
                   "The log has no record of " + toString(*m_key)
                       + "; `lagoonbank-ctl show` lists the objects that exist.");
}

} // namespace Lagoonbank::Operations
