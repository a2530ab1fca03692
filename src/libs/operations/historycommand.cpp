#include "operations/historycommand.h"

#include "operations/texts.h"

#include <absl/strings/str_cat.h>

namespace Lagoonbank::Operations {

using Configuration::Judgement;

std::string toText(const Judgement &judgement)
{
    std::string line = absl::StrCat("offset ", judgement.offset.value(), " ",
                                    std::string(Configuration::toString(judgement.verdict)));
    if (judgement.key)
        absl::StrAppend(&line, " ", toString(*judgement.key));
    if (judgement.revision != Base::Revision())
        absl::StrAppend(&line, " revision ", judgement.revision.value());
    if (!judgement.publisher.empty())
        absl::StrAppend(&line, " by ", judgement.publisher);
    absl::StrAppend(&line, " record ", judgement.recordId);
    if (!judgement.winner.empty())
        absl::StrAppend(&line, " lost to ", judgement.winner);
    if (!judgement.detail.empty())
        absl::StrAppend(&line, ": ", judgement.detail);
    return line + "\n";
}

Json toJson(const Judgement &judgement)
{
    Json json{{"offset", judgement.offset.value()},
              {"record", judgement.recordId},
              {"verdict", Configuration::toString(judgement.verdict)}};
    if (judgement.key)
        json.update(jsonOf(*judgement.key));
    json["publisher"] = judgement.publisher;
    json["base"] = judgement.base.value();
    json["revision"] = judgement.revision.value();
    json["winner"] = judgement.winner;
    json["detail"] = judgement.detail;
    return json;
}

Report HistoryCommand::report() const
{
    Report report;
    report.json["first_offset"] = log().first().value();
    report.json["changes"] = Json::array();
    if (log().first() > Base::LogOffset()) {
        absl::StrAppend(&report.text, "records before offset ", log().first().value(),
                        " are gone through retention\n");
    }
    for (const Judgement &judgement : log().reducer().judgements()) {
        if (m_key && judgement.key != m_key)
            continue;
        report.text += toText(judgement);
        report.json["changes"].push_back(toJson(judgement));
    }
    if (!m_key || !report.json["changes"].empty())
        return report;
    if (log().entry(*m_key)) {
        absl::StrAppend(&report.text, "no change of ", toString(*m_key),
                        " is in the log any more; see `lagoonbank-ctl show`\n");
        return report;
    }
    return failure(ExitStatus::NotFound,
                   "There never was a " + toString(*m_key)
                       + ", as far as the log reaches back; `lagoonbank-ctl show` lists what "
                         "there is.");
}

} // namespace Lagoonbank::Operations
