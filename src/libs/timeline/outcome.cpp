#include "timeline/outcome.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

namespace Lagoonbank::Timeline {

using Errors::ErrorKind;
using Errors::Ran;

namespace {

std::string_view limitSubject(ErrorKind cause)
{
    switch (cause) {
    case ErrorKind::RateLimited:
        return "the contract's request rate";
    case ErrorKind::TokenRateLimited:
        return "the contract's token rate";
    case ErrorKind::ConcurrencyLimited:
        return "the contract's limit of concurrent requests";
    default:
        return {};
    }
}

std::string limitText(const OutcomeEnd &end)
{
    const std::string &text = end.source.empty() ? end.limit : end.source;
    return text.empty() ? std::string() : absl::StrCat(" (", text, ")");
}

// Returns the cause as the second half of a sentence.
std::string causeText(const OutcomeEnd &end)
{
    if (!end.cause)
        return "the cause is unknown";
    if (const std::string_view subject = limitSubject(*end.cause); !subject.empty())
        return absl::StrCat(std::string(subject), limitText(end), " was exceeded");
    std::string text(Errors::errorRow(*end.cause).text);
    if (!text.empty() && text.back() == '.')
        text.pop_back();
    if (!text.empty())
        text.front() = absl::ascii_tolower(static_cast<unsigned char>(text.front()));
    return text + limitText(end);
}

std::string locationText(const Outcome &outcome)
{
    if (outcome.attempts.empty())
        return {};
    const std::string noun = outcome.isModelCall ? " on engine " : " on endpoint ";
    return noun + outcome.attempts.back().endpoint.value();
}

std::string durationText(const Outcome &outcome)
{
    return outcome.tookMs ? absl::StrCat(" after ", *outcome.tookMs, " ms") : std::string();
}

std::string ranText(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "The request did not run.";
    case Ran::Yes:
        return "The request ran.";
    case Ran::Unknown:
        break;
    }
    return "The request may have run.";
}

std::string completedSentence(const Outcome &outcome)
{
    std::string text = absl::StrCat("The request completed", locationText(outcome));
    if (outcome.tookMs)
        absl::StrAppend(&text, " in ", *outcome.tookMs, " ms");
    if (outcome.attempts.size() > 1)
        absl::StrAppend(&text, ", on attempt ", outcome.attempts.size());
    return text + ".";
}

} // namespace

OutcomeKind outcomeKind(Ran ran, bool callerHasPart)
{
    if (callerHasPart)
        return OutcomeKind::CutOff;
    if (ran == Ran::No)
        return OutcomeKind::Refused;
    return ran == Ran::Yes ? OutcomeKind::CutOff : OutcomeKind::Unknown;
}

std::string sentence(const Outcome &outcome, std::int64_t nowWallMs)
{
    switch (outcome.end.kind) {
    case OutcomeKind::Running:
        return absl::StrCat("The request has been running", locationText(outcome), " for ",
                            std::max<std::int64_t>(0, nowWallMs - outcome.startedWallMs), " ms.");
    case OutcomeKind::Whole:
        return completedSentence(outcome);
    case OutcomeKind::Refused:
        return absl::StrCat("The request was refused and did not run: ", causeText(outcome.end),
                            ".");
    case OutcomeKind::CutOff:
        return absl::StrCat("The request was cut off", locationText(outcome), durationText(outcome),
                            ": ", causeText(outcome.end), ". ", ranText(outcome.end.ran));
    case OutcomeKind::Unknown:
        break;
    }
    return absl::StrCat("The request has an unknown outcome", locationText(outcome),
                        durationText(outcome), ": ", causeText(outcome.end), ". ",
                        ranText(outcome.end.ran));
}

} // namespace Lagoonbank::Timeline
