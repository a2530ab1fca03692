// Passes the input to one of the decoders of what other writers may have left in the store, and of
// what other routers send. The first byte selects the decoder.
#include "base/logoffset.h"
#include "fleetsync/quarantinelog.h"
#include "fleetsync/routerregistry.h"
#include "fleetsync/sharedendpoint.h"
#include "fleetsync/softwarelog.h"
#include "platform/storeobjects.h"
#include "platform/storepages.h"
#include "runtime/clock.h"
#include "schema/compression.h"
#include "schema/messagecodec.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

using namespace Lagoonbank;

namespace {

void require(bool isTrue)
{
    if (!isTrue)
        std::abort();
}

/// Each endpoint that is used must be one that routers can exchange: a message with another one
/// fails as a whole.
void requireShareable(const Fleet::EndpointDirectory::Entry &entry)
{
    const auto body =
        Schema::encodeMessage(Schema::FleetBeacon{.changes = {FleetSync::toShared(entry)}});
    require(body.has_value());
    const auto received = Schema::decodeMessage<Schema::FleetBeacon>(body.value());
    require(received.has_value());
    const auto same = FleetSync::fromShared(received.value().changes.at(0));
    require(same && same.value().endpoint.id == entry.endpoint.id);
    require(same.value().endpoint.slots == entry.endpoint.slots);
}

void readEntry(std::string_view input)
{
    // The id precedes the first line end.
    const std::size_t end = input.find('\n');
    const bool hasId = end != std::string_view::npos;
    const auto entry = Platform::readEndpoint(hasId ? input.substr(0, end) : "i-1",
                                              hasId ? input.substr(end + 1) : input);
    if (!entry)
        return;
    const Fleet::Endpoint &endpoint = entry.value().endpoint;
    require(endpoint.slots >= 0 && endpoint.address.port > 0);
    require(!endpoint.id.empty() && !endpoint.service.empty());
    require(!endpoint.startedAt || endpoint.startedAt->time_since_epoch().count() >= 0);
    requireShareable(
        {.endpoint = endpoint, .version = Base::LogOffset(1), .sequence = entry.value().sequence});
}

void readConfiguration(std::string_view input)
{
    const auto read = Platform::readConfiguration(input);
    if (!read)
        return;
    const Fleet::Configuration &configuration = *read.value();
    for (const Fleet::Route &route : configuration.routes()) {
        require(route.timeout >= Base::Duration::zero() && route.maxEndpoints >= 0);
        require(route.targetLatency >= Base::Duration::zero());
        require(route.maxEventGap >= Base::Duration::zero() && !route.services.empty());
        Fleet::serviceFor(route, UINT64_MAX);
    }
    for (const Fleet::Service &service : configuration.services())
        require(service.warmup.time >= Base::Duration::zero() && service.maxConnections >= 0);
    require(configuration.limits().idleTimeout >= Base::Duration::zero());
    require(configuration.limits().headTimeout >= Base::Duration::zero());
}

void readPages(std::string_view input)
{
    const Base::LogEra era(1);
    const auto skip = [](const std::string &, Base::LogOffset, std::string_view reason) {
        require(!reason.empty());
    };
    const auto newest = Platform::readNewestPage(std::string(input), era, "a", skip);
    if (newest && newest.value().hasMore)
        require(newest.value().nextAfter() && *newest.value().nextAfter() != "a");
    const Base::LogOffset from = Base::makeLogOffset(era, 40);
    const auto tail = Platform::readTailPage(input, era, from, skip);
    if (!tail)
        return;
    require(tail.value().nextPosition(from) >= from);
    for (const KeyedLog::KeyedRecord &record : tail.value().records)
        require(record.offset >= from && record.offset < tail.value().next);
}

/// The key precedes the first line end.
void readRouterRecords(std::string_view input)
{
    if (const auto router = FleetSync::parseRegistryEntry(input))
        require(router.value().address.port > 0 && !router.value().dataCentre.empty());
    const std::size_t end = std::min(input.find('\n'), input.size());
    KeyedLog::KeyedRecord record{.key = std::string(input.substr(0, end)),
                                 .value =
                                     std::string(input.substr(std::min(end + 1, input.size()))),
                                 .offset = Base::LogOffset(1)};
    bool isVersionUnreadable = false;
    const auto use = FleetSync::SoftwareLog::readRecord(
        record, [&](const auto &, std::string_view) { isVersionUnreadable = true; });
    require(!use || !isVersionUnreadable);
    if (use)
        require(Schema::encodeMessage(Schema::StreamStateAnswer{.software = {*use}}).has_value());
    Runtime::ManualClock clock;
    Runtime::TimerQueue timers(clock);
    FleetSync::QuarantineLog log(
        {.write = [](const auto &, const auto &, const auto &) {}, .timers = &timers});
    bool isReceived = false;
    bool isUnreadable = false;
    log.received = [&](const FleetSync::QuarantineKey &) { isReceived = true; };
    log.unreadable = [&](const auto &, std::string_view) { isUnreadable = true; };
    log.recordRead(record);
    require(isReceived != isUnreadable);
}

template<typename Message>
void readMessage(std::string_view input)
{
    const auto message = Schema::decodeMessage<Message>(input);
    if (!message)
        return;
    const auto body = Schema::encodeMessage(message.value());
    require(body.has_value());
    require(Schema::decodeMessage<Message>(body.value()).has_value());
    if constexpr (requires { message.value().changes; }) {
        for (const Schema::SharedEndpoint &shared : message.value().changes) {
            if (const auto entry = FleetSync::fromShared(shared))
                requireShareable(entry.value());
            if (const auto gone = FleetSync::fromSharedRemoval(shared))
                require(FleetSync::toSharedRemoval(gone.value()).id == shared.id);
        }
    }
}

void readMessages(std::string_view input)
{
    readMessage<Schema::FleetBeacon>(input);
    readMessage<Schema::PromptUpdate>(input);
    readMessage<Schema::LoadUpdate>(input);
    readMessage<Schema::CrashUpdate>(input);
    readMessage<Schema::PartUpdate>(input);
    readMessage<Schema::StreamUpdate>(input);
    readMessage<Schema::StreamBatch>(input);
    readMessage<Schema::FleetStateRequest>(input);
    readMessage<Schema::FleetStateAnswer>(input);
    readMessage<Schema::QuarantineRequest>(input);
    readMessage<Schema::QuarantineAnswer>(input);
    readMessage<Schema::StreamStateRequest>(input);
    readMessage<Schema::StreamStateAnswer>(input);
}

void readCompressed(std::string_view input)
{
    constexpr std::size_t maxBytes = 100000;
    const auto text = Schema::decompress(input, maxBytes);
    if (!text)
        return;
    require(text.value().size() <= maxBytes);
    const auto again = Schema::decompress(Schema::compress(text.value()), maxBytes + 1);
    require(again && again.value() == text.value());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    constexpr std::uint8_t decoderCount = 6;
    const std::string_view input(reinterpret_cast<const char *>(data) + 1, size - 1);
    switch (data[0] % decoderCount) {
    case 0:
        readEntry(input);
        break;
    case 1:
        readConfiguration(input);
        break;
    case 2:
        readPages(input);
        break;
    case 3:
        readRouterRecords(input);
        break;
    case 4:
        readMessages(input);
        break;
    default:
        readCompressed(input);
        break;
    }
    return 0;
}
