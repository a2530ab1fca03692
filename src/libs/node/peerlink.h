#pragma once

#include "errors/result.h"
#include "http/client.h"
#include "membership/controlbudget.h"
#include "membership/membership.h"
#include "membership/peertransport.h"
#include "metrics/registry.h"
#include "node/configurationfollower.h"
#include "platformclient/vmlistclient.h"
#include "runtime/loop.h"
#include "schema/generated/settings.h"
#include "timeline/eventlog.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Lagoonbank::Node {

/// Connects this process to its peers: membership, digests, and configuration received from peers.
class PeerLink
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        ConfigurationFollower *configuration = nullptr;
        Membership::MemberRole role = Membership::MemberRole::Router;
        Base::VmId vm;
        Base::DataCentreId dataCentre;
        Base::RegionId region;
        Runtime::SocketAddress address;
        std::vector<Runtime::SocketAddress> seeds;
        std::vector<std::string> keys;
        Base::Incarnation incarnation;
        Schema::ControlSettings control;
        /// Event log whose hybrid clock is synchronised by the messages between peers. May be null.
        Timeline::EventLog *events = nullptr;
    };

    /// Number of processes in each data centre that read the log themselves.
    static constexpr std::size_t logReadersPerDataCentre = 2;

    /// Completes \a options with the settings of a router or controller. Counts control traffic in
    /// lagoonbank_control_bytes_total of \a metrics.
    template<typename Settings>
    static Errors::Result<std::unique_ptr<PeerLink>>
    create(Options options, const Settings &settings, Metrics::Registry &metrics)
    {
        options.vm = settings.vm;
        options.dataCentre = settings.dataCentre;
        options.region = settings.region;
        options.keys = settings.peerKeys;
        options.control = settings.control;
        return create(std::move(options), settings.peerAddress, settings.seeds, metrics);
    }

    explicit PeerLink(Options options);
    ~PeerLink();

    Errors::Result<void> start();
    /// Announces to the peers that this process leaves.
    void leave();
    void setVms(const std::vector<PlatformClient::VmEntry> &vms);
    /// Must be called when the configuration has changed.
    void configurationChanged();

    Membership::Membership &membership() { return *m_membership; }
    const Membership::Membership &membership() const { return *m_membership; }
    Membership::ControlBudget &budget() { return m_budget; }
    /// Null before start().
    Membership::PeerTransport *transport() { return m_transport.get(); }

    std::function<void(const Membership::Member &member, Membership::MemberEvent event)>
        memberChanged;

private:
    static Errors::Result<std::unique_ptr<PeerLink>> create(Options options,
                                                            const std::string &address,
                                                            const std::vector<std::string> &seeds,
                                                            Metrics::Registry &metrics);
    void pullConfiguration(const Runtime::SocketAddress &peer, bool wantsAll);
    void updateLogReaderRole();

    Options m_options;
    Membership::ControlBudget m_budget;
    std::unique_ptr<Membership::Membership> m_membership;
    std::unique_ptr<Membership::PeerTransport> m_transport;
    bool m_isPulling = false;
    Runtime::TimerId m_logReaderTimer;
};

} // namespace Lagoonbank::Node
