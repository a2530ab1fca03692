// Passes the input to all code that parses data of endpoints: as the head of an answer to the codec
// of endpoints and to that of relayed answers, and as an entry of the store. The first line of a
// head is the status, each other one a header.
#include "base/parsenumber.h"
#include "base/text.h"
#include "platform/enginecodec.h"
#include "platform/relaycodec.h"
#include "platform/storeobjects.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <vector>

using namespace Lagoonbank;

namespace {

constexpr std::string_view loadName = "lagoonbank-engine-load";

void require(bool isTrue)
{
    if (!isTrue)
        std::abort();
}

void checkFacts(const Gateway::HeadFacts &facts)
{
    if (facts.backOffTime) {
        require(*facts.backOffTime >= Base::Duration::zero());
        require(*facts.backOffTime <= std::chrono::hours(24));
    }
    for (const std::string_view name : facts.undecodable)
        require(!name.empty());
}

void readHead(std::string_view input)
{
    const std::vector<std::string_view> lines = Base::split(input, '\n');
    Http::Headers headers;
    for (std::size_t i = 1; i < lines.size(); ++i) {
        const std::size_t colon = lines[i].find(':');
        if (colon != std::string_view::npos)
            headers.add(lines[i].substr(0, colon), lines[i].substr(colon + 1));
    }
    const int status = lines.empty() ? 0 : Base::parseNumber<int>(lines[0]).value_or(200);
    Gateway::CallerRequest request;
    request.id = Base::RequestId("9c41");
    const Gateway::HeadFacts facts =
        Platform::endpointProtocol().readHead(request, status, headers);
    checkFacts(facts);
    const bool isLoadUndecodable =
        std::ranges::find(facts.undecodable, loadName) != facts.undecodable.end();
    // A load report is decoded or named as undecodable.
    require(headers.find(loadName).has_value() == (facts.load.has_value() != isLoadUndecodable));
    checkFacts(Platform::relayProtocol().peer.readHead(request, status, headers));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view input(reinterpret_cast<const char *>(data), size);
    readHead(input);
    const auto entry = Platform::readEndpoint("i-1", input);
    if (entry)
        require(entry.value().endpoint.slots >= 0);
    return 0;
}
