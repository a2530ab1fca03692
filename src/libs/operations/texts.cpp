#include "operations/texts.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

namespace Lagoonbank::Operations {

Report logFailure(const Errors::Error &error, const std::string &consequence)
{
    std::string text = absl::StrCat("The log could not be read: ", error.detail);
    if (!text.ends_with('.'))
        text += '.';
    absl::StrAppend(&text, " ", consequence,
                    " Check --platform and the platform's state, then run the command again.");
    return failure(ExitStatus::Failed, text);
}

Report fileFailure(const Schema::SettingsErrors &errors)
{
    Report report{.status = ExitStatus::Usage, .errors = Schema::toText(errors)};
    if (!report.errors.ends_with('\n'))
        report.errors += '\n';
    report.json["errors"] = Json::array();
    for (const Schema::SettingsError &error : errors) {
        report.json["errors"].push_back(
            {{"file", error.file}, {"line", error.line}, {"text", error.text}});
    }
    return report;
}

Json jsonOf(const Configuration::ObjectKey &key)
{
    return {{"kind", Schema::toString(key.kind)}, {"name", key.name}};
}

std::optional<Configuration::ObjectKey> parseObjectKey(const std::string &kind,
                                                       const std::string &name)
{
    const auto known = Schema::enumFromName<Schema::ObjectKind>(kind);
    if (!known)
        return std::nullopt;
    return Configuration::ObjectKey{*known, name};
}

Report unknownKind(const std::string &kind)
{
    std::string text = absl::StrCat("'", kind, "' is not an object kind; give one of");
    for (const auto &row : Schema::enumNames(Schema::ObjectKind{}))
        absl::StrAppend(&text, " ", std::string(row.name));
    return failure(ExitStatus::Usage, text + ".");
}

std::string shellQuote(const std::string &text)
{
    return absl::StrCat("'", absl::StrReplaceAll(text, {{"'", "'\\''"}}), "'");
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view unreserved = "-._~";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (absl::ascii_isalnum(byte) || unreserved.find(c) != std::string_view::npos)
            out += c;
        else
            absl::StrAppendFormat(&out, "%%%02X", byte);
    }
    return out;
}

} // namespace Lagoonbank::Operations
