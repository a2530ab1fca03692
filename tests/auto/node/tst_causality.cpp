#define BOOST_TEST_MODULE Causality
#include "configuration/reducer.h"
#include "membership/membership.h"
#include "node/logicaltime.h"
#include "runtime/clock.h"
#include "timeline/eventlog.h"
#include "timeline/mergedtimeline.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace Lagoonbank;
using Timeline::EventType;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

namespace {

const Base::EndpointId engine("engine-1");

struct Row
{
    const char *name;
    bool timeInMessages;
    bool timeInRecords;
    bool isCausal;
};
std::ostream &operator<<(std::ostream &stream, const Row &row)
{
    return stream << row.name;
}

/// A process with its own wall clock and events. All but the operator's host are also members.
struct Process
{
    Process(const std::string &name, Base::Duration clockOffset)
        : events({.process = name})
    {
        clock.setWall(clock.wallNow() + clockOffset);
    }
    void recordEvent(EventType type) { events.record(type, {.endpoint = engine}, clock.wallNow()); }

    Runtime::ManualClock clock;
    Timeline::EventLog events;
    Membership::ControlBudget budget;
    Configuration::Reducer reducer;
    std::unique_ptr<Membership::Membership> membership;
    bool hasApplied = false;
};

/// An operator, a router that reads the log, a controller and another router, whose wall clocks
/// differ by up to 20 s. Messages are encoded, and delivered in order.
class DrainScenario
{
public:
    explicit DrainScenario(const Row &row)
        : m_row(row)
    {
        join(reader, Membership::MemberRole::Router);
        join(controller, Membership::MemberRole::Controller);
        join(router, Membership::MemberRole::Router);
        controller.membership->configurationAhead = [this](const auto &, const auto &) {
            apply(controller);
        };
        router.membership->endpointLeaving = [this](const auto &, Base::Incarnation) {
            router.recordEvent(EventType::EndpointDraining);
            router.recordEvent(EventType::RequestEnded);
        };
        run(5s);
    }

    /// Runs from the operator's change until the last request at the drained endpoint has ended.
    /// Returns the events of all processes in merged order.
    std::vector<Timeline::ProcessEvent> runAndMergeEvents()
    {
        const std::string record = publish();
        run(1s);
        reader.reducer.setChangeProcessed([this](const Configuration::ChangeResult &result) {
            Node::mergeRecordTime(result.time, reader.events, reader.clock);
        });
        reader.reducer.recordRead({Base::LogOffset(0), "change-1", record});
        apply(reader);
        run(3s);
        return Timeline::mergeEvents({router.events.events({}), controller.events.events({}),
                                      reader.events.events({}), operatorsHost.events.events({})});
    }

private:
    struct Datagram
    {
        Membership::Sender sender;
        Runtime::SocketAddress from;
        Runtime::SocketAddress to;
        std::string body;
    };

    void join(Process &process, Membership::MemberRole role)
    {
        constexpr std::uint32_t network = 0x0a000001;
        const auto number = static_cast<std::uint32_t>(m_members.size());
        Membership::Membership::Options options{.randomSeed = number + 1,
                                                .budget = &process.budget};
        options.self.id = process.events.process();
        options.self.role = role;
        options.self.dataCentre = "north";
        options.self.region = "punjab";
        options.self.ip = network + number;
        options.self.port = 7000;
        options.self.incarnation = 1;
        options.seeds = {{"10.0.0.1", 7000}};
        process.membership =
            std::make_unique<Membership::Membership>(std::move(options), process.clock.now());
        process.membership->messageReady = [this, &process](const Runtime::SocketAddress &to,
                                                            const Membership::PeerMessage &sent) {
            Datagram &datagram = m_network.emplace_back();
            datagram.sender.id = process.membership->self().id;
            datagram.sender.incarnation = process.membership->self().incarnation;
            datagram.from = Membership::toSocketAddress(process.membership->self());
            datagram.to = to;
            datagram.body = Membership::encodeMessage(sent).value();
        };
        if (m_row.timeInMessages)
            Node::connectClock(*process.membership, process.events, process.clock);
        m_members.push_back(&process);
    }

    std::string publish()
    {
        const Runtime::ManualClock &clock = operatorsHost.clock;
        operatorsHost.recordEvent(EventType::ConfigurationPublished);
        Configuration::ChangeRecord change;
        change.key.kind = Schema::ObjectKind::DataCentre;
        change.key.name = "north";
        change.publisher = "op";
        change.body = "{}";
        if (m_row.timeInRecords)
            change.time = Timeline::toString(operatorsHost.events.clock().tick(clock.wallNow()));
        return Configuration::encode(change);
    }

    void apply(Process &process)
    {
        if (std::exchange(process.hasApplied, true))
            return;
        process.recordEvent(EventType::ConfigurationApplied);
        const Base::MonoTime now = process.clock.now();
        process.membership->setAppliedConfiguration({.offset = 1, .hash = 1}, now);
        if (&process != &controller)
            return;
        process.recordEvent(EventType::OrderSent);
        process.membership->announceLeaving(engine, Base::Incarnation(1), now);
    }

    void run(Base::Duration duration)
    {
        constexpr Base::Duration step = 20ms;
        for (Base::Duration elapsed{}; elapsed < duration; elapsed += step) {
            operatorsHost.clock.advance(step);
            for (Process *member : m_members) {
                member->clock.advance(step);
                member->membership->advance(member->clock.now());
            }
            deliver();
        }
    }

    void deliver()
    {
        while (!m_network.empty()) {
            const Datagram datagram = std::move(m_network.front());
            m_network.pop_front();
            for (Process *member : m_members) {
                if (Membership::toSocketAddress(member->membership->self()) == datagram.to)
                    member->membership->receive(datagram.sender, datagram.from,
                                                Membership::decodeMessage(datagram.body).value(),
                                                member->clock.now());
            }
        }
    }

    Row m_row;
    std::vector<Process *> m_members;
    std::deque<Datagram> m_network;

public:
    Process operatorsHost{"operator", 10s};
    Process reader{"vm-1/router", 0s};
    Process controller{"vm-1/controller", -10s};
    Process router{"vm-2/router", 2s};
};

using Step = std::pair<std::string, EventType>;

std::size_t indexOf(const std::vector<Timeline::ProcessEvent> &events, const Step &step)
{
    const auto found = std::find_if(events.begin(), events.end(), [&](const auto &event) {
        return event.process == step.first && event.event.type == step.second;
    });
    BOOST_TEST_REQUIRE((found != events.end()));
    return static_cast<std::size_t>(found - events.begin());
}

const Row rows[] = {{"messages and records carry the time", true, true, true},
                    {"messages without the time", false, true, false},
                    {"records without the time", true, false, false}};

} // namespace

BOOST_DATA_TEST_CASE(drainIsMergedInCausalOrderDespiteClockSkew, boost::unit_test::data::make(rows),
                     row)
{
    const Step steps[] = {{"operator", EventType::ConfigurationPublished},
                          {"vm-1/router", EventType::ConfigurationApplied},
                          {"vm-1/controller", EventType::ConfigurationApplied},
                          {"vm-1/controller", EventType::OrderSent},
                          {"vm-2/router", EventType::EndpointDraining},
                          {"vm-2/router", EventType::RequestEnded}};
    const auto events = DrainScenario(row).runAndMergeEvents();
    std::vector<std::size_t> indices;
    for (const Step &step : steps)
        indices.push_back(indexOf(events, step));
    BOOST_TEST(std::is_sorted(indices.begin(), indices.end()) == row.isCausal);
}

BOOST_AUTO_TEST_CASE(timesFarAheadAreRejected)
{
    Process process("vm-1/router", 0s);
    const Timeline::HybridTime own = process.events.clock().tick(process.clock.wallNow());
    const Timeline::HybridTime farAhead{.wallMs = own.wallMs + 3'600'000};
    Node::mergeRecordTime(Timeline::toString(farAhead), process.events, process.clock);
    Node::mergeRecordTime("no time", process.events, process.clock);
    Node::mergeRecordTime("", process.events, process.clock);
    BOOST_TEST((process.events.clock().last() == own));
    BOOST_TEST(process.events.clock().refused() == 1U);
}
