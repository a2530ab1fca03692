#include "operations/recordcommand.h"

#include "operations/historycommand.h"

#include <absl/strings/str_cat.h>

namespace Lagoonbank::Operations {

using Configuration::Verdict;

Report RecordCommand::report() const
{
    Report report;
    report.json["record"] = m_record;
    if (const auto *result = log().reducer().findChangeResult(m_record)) {
        const bool isAccepted = result->verdict == Verdict::Accepted;
        report.status = isAccepted ? ExitStatus::Ok : ExitStatus::Rejected;
        report.text = toText(*result);
        report.json.update(toJson(*result));
        return report;
    }
    for (const auto &[key, entry] : log().reducer().state().entries()) {
        if (entry.recordId != m_record)
            continue;
        report.text = absl::StrCat("accepted ", toString(key), " revision ", entry.revision.value(),
                                   " offset ", entry.offset.value(), "\n");
        report.json["verdict"] = Configuration::toString(Verdict::Accepted);
        report.json["revision"] = entry.revision.value();
        report.json["offset"] = entry.offset.value();
        return report;
    }
    report.status = ExitStatus::NotFound;
    report.errors =
        absl::StrCat("The record is not in the log before offset ", log().next().value(),
                     ". It may still arrive; publishing the "
                     "change again is safe.\n");
    if (log().first() > Base::LogOffset()) {
        absl::StrAppend(&report.errors, "Records before offset ", log().first().value(),
                        " were removed by retention; the outcome of an older change is no longer "
                        "known.\n");
    }
    return report;
}

} // namespace Lagoonbank::Operations
