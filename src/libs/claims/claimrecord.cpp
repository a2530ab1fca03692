#include "claims/claimrecord.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace Lagoonbank::Claims {

namespace {

using Json = nlohmann::json;

constexpr int version = 1;

std::string encode(const std::string &bytes)
{
    return absl::Base64Escape(bytes);
}

std::string decode(const Json &text)
{
    std::string bytes;
    if (!absl::Base64Unescape(text.get<std::string>(), &bytes))
        throw std::invalid_argument("not base64");
    return bytes;
}

Json toJson(const Claim &claim)
{
    return {{"version", version},
            {"workspace", claim.key.workspace.value()},
            {"key", encode(claim.key.key.value())},
            {"request_id", claim.request.value()},
            {"vm", claim.router.vm.value()},
            {"incarnation", claim.router.incarnation.value()},
            {"call", claim.call.value()}};
}

Json toJson(const Outcome &outcome)
{
    const bool isBodyKept = outcome.isBodyKept && outcome.body.size() <= maxKeptBodyBytes;
    return {{"ran", Errors::toString(outcome.ran)},
            {"status", outcome.status},
            {"content_type", encode(outcome.contentType)},
            {"body", isBodyKept ? encode(outcome.body) : std::string()},
            {"body_kept", isBodyKept}};
}

Claim readClaim(const Json &json)
{
    return {
        .key = {.workspace = Base::WorkspaceId(json.at("workspace").get<std::string>()),
                .key = Base::IdempotencyKey(decode(json.at("key")))},
        .request = Base::RequestId(json.at("request_id").get<std::string>()),
        .router = {.vm = Base::VmId(json.at("vm").get<std::string>()),
                   .incarnation = Base::Incarnation(json.at("incarnation").get<std::uint64_t>())},
        .call = CallHash(json.at("call").get<std::uint64_t>())};
}

Errors::Ran readRan(const Json &json)
{
    for (const Errors::Ran ran : {Errors::Ran::No, Errors::Ran::Yes, Errors::Ran::Unknown}) {
        if (json.get<std::string>() == Errors::toString(ran))
            return ran;
    }
    throw std::invalid_argument("unknown value of ran");
}

Outcome readOutcome(const Json &json)
{
    return {.ran = readRan(json.at("ran")),
            .status = json.at("status").get<int>(),
            .contentType = decode(json.at("content_type")),
            .body = decode(json.at("body")),
            .isBodyKept = json.at("body_kept").get<bool>()};
}

} // namespace

PlatformClient::Record toRecord(const Claim &claim)
{
    return {.id = "claim:" + claim.request.value(), .data = toJson(claim).dump()};
}

PlatformClient::Record toRecord(const ClaimOutcome &claimOutcome)
{
    Json json = toJson(claimOutcome.claim);
    json["outcome"] = toJson(claimOutcome.outcome);
    return {.id = "outcome:" + claimOutcome.claim.request.value(), .data = json.dump()};
}

Errors::Result<std::variant<Claim, ClaimOutcome>> parseRecord(std::string_view data)
{
    using Record = std::variant<Claim, ClaimOutcome>;
    try {
        const Json json = Json::parse(data);
        if (json.at("version").get<int>() > version)
            return Errors::makeError(Errors::ErrorKind::WrongVersion,
                                     "The claim record has a newer version.");
        if (!json.contains("outcome"))
            return Record(readClaim(json));
        return Record(ClaimOutcome{readClaim(json), readOutcome(json.at("outcome"))});
    } catch (const std::exception &) {
        // Thrown for invalid JSON, missing members and members of a wrong type alike.
        return Errors::makeError(Errors::ErrorKind::BadMessage, "The claim record is malformed.");
    }
}

} // namespace Lagoonbank::Claims
