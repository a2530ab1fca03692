#include "eventplayer.h"

#include <nlohmann/json.hpp>

#include <set>

namespace Lagoonbank::Bench {

namespace {

using Experiment::EventKind;

constexpr int httpOk = 200;
constexpr Base::Duration requestTimeout = std::chrono::seconds(2);
constexpr const char *clearFaults = R"({"fault":"none"})";

std::string_view nameOf(EventKind kind)
{
    switch (kind) {
    case EventKind::Fault:
        return "fault";
    case EventKind::PlatformFault:
        return "platform_fault";
    case EventKind::Drain:
        return "drain";
    case EventKind::Undrain:
        return "undrain";
    case EventKind::VmChange:
        return "vm_change";
    case EventKind::Mark:
        break;
    }
    return "mark";
}

} // namespace

EventPlayer::EventPlayer(const Options &options)
    : m_options(options)
    , m_definition(*options.definition)
{
    if (!options.marksFile.empty())
        m_marks.open(options.marksFile, std::ios::trunc);
}

void EventPlayer::start()
{
    writeMark("start", "", "");
    for (const Experiment::Event &event : m_definition.events)
        m_options.loop->timers().start(event.timeInRun, [this, &event] { runEvent(event); });
}

void EventPlayer::runEvent(const Experiment::Event &event)
{
    writeMark(nameOf(event.kind), event.target, event.body);
    switch (event.kind) {
    case EventKind::Fault:
        return send("POST", addressOf(event.target), "/faults", event.body, nullptr);
    case EventKind::PlatformFault:
        return send("POST", m_definition.platformAddress, "/faults", event.body, nullptr);
    case EventKind::VmChange:
        return send("PUT", m_definition.platformAddress, "/vms", event.body, nullptr);
    case EventKind::Drain:
    case EventKind::Undrain:
    case EventKind::Mark:
        break;
    }
}

void EventPlayer::end(const std::function<void()> &done)
{
    writeMark("end", "", "");
    std::set<std::string> addresses;
    for (const Experiment::Event &event : m_definition.events) {
        if (event.kind == EventKind::Fault)
            addresses.insert(addressOf(event.target));
        if (event.kind == EventKind::PlatformFault)
            addresses.insert(m_definition.platformAddress);
    }
    if (addresses.empty())
        return done();
    auto remaining = std::make_shared<std::size_t>(addresses.size());
    for (const std::string &address : addresses) {
        send("POST", address, "/faults", clearFaults, [remaining, done] {
            if (--*remaining == 0)
                done();
        });
    }
}

void EventPlayer::send(const std::string &method, const std::string &address,
                       const std::string &target, const std::string &body,
                       const std::function<void()> &done)
{
    Http::Call call{
        .server = Runtime::parseSocketAddress(address).value(),
        .method = method,
        .target = target,
        .headers = {{"content-type", "application/json"}},
        .body = body,
        .freshConnection = true,
        .headTimeout = requestTimeout,
        .totalTimeout = requestTimeout,
    };
    const std::string request = method + " " + target + " at " + address + " with " + body;
    m_options.client->start(
        std::move(call), {.finished = [this, request, done](const Http::CallResult &result) {
            if (result.status != httpOk)
                m_notes.push_back("time line: " + request + " was not taken: "
                                  + std::to_string(result.status) + " " + result.body);
            if (done)
                done();
        }});
}

std::string EventPlayer::addressOf(const std::string &endpoint) const
{
    for (const Experiment::DeployedEndpoint &deployed : m_definition.endpoints) {
        if (deployed.endpoint.value() == endpoint)
            return deployed.address;
    }
    return {};
}

void EventPlayer::writeMark(std::string_view kind, const std::string &target,
                            const std::string &text)
{
    if (!m_marks.is_open())
        return;
    const std::int64_t now =
        Base::toMilliseconds(m_options.loop->clock().wallNow().time_since_epoch());
    const nlohmann::ordered_json line{
        {"at_ms", now}, {"kind", kind}, {"target", target}, {"text", text}};
    m_marks << line.dump() << std::endl;
}

std::vector<Experiment::DrainPeriod> EventPlayer::drains() const
{
    std::vector<Experiment::DrainPeriod> drains;
    if (m_options.acceptancesFile.empty())
        return drains;
    std::ifstream file(m_options.acceptancesFile);
    for (std::string line; std::getline(file, line);) {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (!json.is_object() || !json.contains("accepted_ms"))
            continue;
        const std::string endpoint = json.value("endpoint", "");
        const std::int64_t acceptedMs = json.value("accepted_ms", std::int64_t(0));
        if (json.value("kind", "") == "drain") {
            drains.push_back({.endpoint = endpoint, .acceptedMs = acceptedMs});
            continue;
        }
        for (Experiment::DrainPeriod &drain : drains) {
            if (drain.endpoint == endpoint && !drain.endedMs)
                drain.endedMs = acceptedMs;
        }
    }
    return drains;
}

} // namespace Lagoonbank::Bench
