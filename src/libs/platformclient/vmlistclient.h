#pragma once

#include "base/ids.h"
#include "errors/result.h"
#include "platformclient/backoff.h"
#include "platformclient/transport.h"
#include "runtime/timerqueue.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::PlatformClient {

enum class VmState : std::uint8_t { Live, Leaving };

/// One VM of the platform's list, which may be out of date.
struct VmEntry
{
    Base::VmId id;
    std::string address;
    Base::DataCentreId dataCentre;
    VmState state = VmState::Live;

    bool operator==(const VmEntry &) const = default;
};

/// Differences between two lists.
struct VmChanges
{
    std::vector<VmEntry> added;
    std::vector<VmEntry> changed; ///< Same id, but another state, address or data centre.
    std::vector<VmEntry> removed;

    bool empty() const { return added.empty() && changed.empty() && removed.empty(); }
};

/// Parses the body of `GET /vms` and sorts the VMs by id. Duplicate ids are an error.
Errors::Result<std::vector<VmEntry>> parseVmList(std::string_view body);
/// Both lists must be sorted by id.
VmChanges compareVmLists(const std::vector<VmEntry> &before, const std::vector<VmEntry> &after);

/// Polls the VM list and keeps the last one during outages.
class VmListClient
{
public:
    struct Options
    {
        Transport transport;
        Runtime::TimerQueue *timers = nullptr;
        Base::Duration interval = std::chrono::seconds(2);
        Base::Duration timeout = std::chrono::seconds(1);
        Backoff::Options backoff;
    };
    using Changed = std::function<void(const VmChanges &)>;

    explicit VmListClient(Options options);
    ~VmListClient();
    VmListClient(const VmListClient &) = delete;
    VmListClient &operator=(const VmListClient &) = delete;

    void setChanged(Changed changed) { m_changed = std::move(changed); }
    void start();

    const std::vector<VmEntry> &vms() const { return m_vms; }
    bool isUp() const { return m_isUp; }

private:
    void poll();
    void callEnded(const Http::CallResult &result);

    Options m_options;
    Backoff m_backoff;
    std::vector<VmEntry> m_vms;
    bool m_isUp = false;
    Http::CallId m_call;
    Runtime::TimerId m_timer;
    Changed m_changed;
};

} // namespace Lagoonbank::PlatformClient
