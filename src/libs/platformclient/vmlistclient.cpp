#include "platformclient/vmlistclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Lagoonbank::PlatformClient {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr std::size_t maxVms = 20'000;
constexpr std::size_t maxListBytes = 8 * 1024 * 1024;

Errors::Error badList(std::string detail)
{
    return Errors::makeError(Errors::ErrorKind::BadMessage, std::move(detail));
}

bool isText(const Json &json, const char *name)
{
    return json.contains(name) && json[name].is_string();
}

bool isEntry(const Json &json)
{
    return json.is_object() && isText(json, "id") && isText(json, "address")
        && isText(json, "data_centre") && isText(json, "state")
        && (json["state"] == "live" || json["state"] == "leaving");
}

VmEntry readEntry(const Json &json)
{
    return {.id = Base::VmId(json["id"].get<std::string>()),
            .address = json["address"].get<std::string>(),
            .dataCentre = Base::DataCentreId(json["data_centre"].get<std::string>()),
            .state = json["state"] == "live" ? VmState::Live : VmState::Leaving};
}

} // namespace

Errors::Result<std::vector<VmEntry>> parseVmList(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array()
        || json["vms"].size() > maxVms)
        return badList("The VM list has no array of VMs or too many of them.");
    std::vector<VmEntry> vms;
    for (const Json &entry : json["vms"]) {
        if (!isEntry(entry))
            return badList("A VM lacks id, address, data_centre or a known state.");
        vms.push_back(readEntry(entry));
    }
    std::sort(vms.begin(), vms.end(), [](const auto &a, const auto &b) { return a.id < b.id; });
    const auto duplicate = std::adjacent_find(
        vms.begin(), vms.end(), [](const auto &a, const auto &b) { return a.id == b.id; });
    if (duplicate != vms.end())
        return badList("The VM list contains " + duplicate->id.value() + " twice.");
    return vms;
}

VmChanges compareVmLists(const std::vector<VmEntry> &before, const std::vector<VmEntry> &after)
{
    VmChanges changes;
    auto old = before.begin();
    for (const VmEntry &vm : after) {
        while (old != before.end() && old->id < vm.id)
            changes.removed.push_back(*old++);
        if (old == before.end() || old->id != vm.id) {
            changes.added.push_back(vm);
            continue;
        }
        if (*old != vm)
            changes.changed.push_back(vm);
        ++old;
    }
    changes.removed.insert(changes.removed.end(), old, before.end());
    return changes;
}

VmListClient::VmListClient(Options options)
    : m_options(std::move(options))
    , m_backoff(m_options.backoff)
{ }

VmListClient::~VmListClient()
{
    m_options.transport.cancel(m_call);
    m_options.timers->cancel(m_timer);
}

void VmListClient::start()
{
    poll();
}

void VmListClient::poll()
{
    Http::Call call;
    call.target = "/vms";
    call.headTimeout = m_options.timeout;
    call.progressTimeout = m_options.timeout;
    call.freshConnection = !m_isUp;
    call.maxBodyBytes = maxListBytes;
    m_call = m_options.transport.start(
        std::move(call), [this](const Http::CallResult &result) { callEnded(result); });
}

void VmListClient::callEnded(const Http::CallResult &result)
{
    const bool isAnswer = result.end == Http::CallEnd::Whole && result.status == statusOk;
    auto list =
        isAnswer ? parseVmList(result.body) : badList("The platform did not send a VM list.");
    m_isUp = list.has_value();
    const Base::Duration delay =
        m_isUp ? m_options.interval : std::max(m_backoff.next(), m_options.interval / 2);
    m_timer = m_options.timers->start(delay, [this] { poll(); });
    if (!m_isUp)
        return;
    m_backoff.reset();
    const VmChanges changes = compareVmLists(m_vms, list.value());
    m_vms = std::move(list.value());
    if (!changes.empty() && m_changed)
        m_changed(changes);
}

} // namespace Lagoonbank::PlatformClient
