/// Engines share their machines with other workloads, and report how much longer work takes there
/// at the moment.
#define BOOST_TEST_MODULE tst_slowdown
#include <boost/test/unit_test.hpp>

#include "gateway/placement.h"

#include <array>
#include <optional>
#include <string>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;

namespace {

const Base::ServiceId service{"service"};
constexpr int slots = 4;

/// Three equal endpoints.
struct Fixture
{
    explicit Fixture(bool usesSlowdown = true)
        : placement({.usesSlowdown = usesSlowdown})
    {
        for (std::size_t i = 0; i < requests.size(); ++i) {
            registry.put({.id = Base::EndpointId("e" + std::to_string(i)),
                          .service = service,
                          .address = {"127.0.0.1", 80},
                          .slots = slots},
                         now);
        }
    }
    EndpointRecord &endpoint(std::size_t i)
    {
        return *registry.find(Base::EndpointId("e" + std::to_string(i)));
    }
    void report(std::size_t i, std::optional<double> slowdown)
    {
        const int running = endpoint(i).inFlight;
        registry.loadReported(endpoint(i),
                              {.running = running, .slots = slots, .slowdown = slowdown}, now);
    }
    void send()
    {
        const PlacementResult chosen =
            placement.choose({.service = service, .checkCapacity = false}, registry, now);
        BOOST_REQUIRE(chosen.endpoint);
        registry.requestSent(*chosen.endpoint, now);
        for (std::size_t i = 0; i < requests.size(); ++i)
            requests.at(i) += chosen.endpoint.get() == &endpoint(i) ? 1 : 0;
    }
    /// Sends 60 requests within 60 ms. Each endpoint is reported to take 0.1 s for a request; the
    /// first one reports \a slowdown, which varies, and the others report that work takes as long
    /// as usual, or nothing if it is unset.
    void run(std::optional<double> slowdown)
    {
        for (int i = 0; i < 60; ++i) {
            now += milliseconds(1);
            for (std::size_t k = 0; k < requests.size(); ++k) {
                endpoint(k).latency.add(0.1, now);
                const std::optional<double> usual = slowdown ? std::optional(1.0) : std::nullopt;
                const std::optional<double> varied =
                    slowdown ? std::optional(*slowdown + 0.01 * (i % 2)) : std::nullopt;
                report(k, k == 0 ? varied : usual);
            }
            send();
        }
    }

    EndpointRegistry registry{{}};
    Placement placement;
    Base::MonoTime now{std::chrono::hours(1)};
    std::array<int, 3> requests{};
};

} // namespace

/// Guards against equal shares for endpoints of which one takes three times as long.
BOOST_AUTO_TEST_CASE(slowedEndpointGetsFewerRequests)
{
    Fixture f;
    f.run(3);
    BOOST_TEST(f.requests[0] > 0);
    BOOST_TEST(2 * f.requests[0] < f.requests[1]);
    BOOST_TEST(2 * f.requests[0] < f.requests[2]);
}

/// Guards against a changed choice where endpoints report no slowdown.
BOOST_AUTO_TEST_CASE(choiceWithoutFourthFigureIsUnchanged)
{
    Fixture with;
    Fixture without(false);
    with.run(std::nullopt);
    without.run(std::nullopt);
    BOOST_TEST(with.requests == without.requests, boost::test_tools::per_element());
    BOOST_TEST(with.requests[0] == 20);
}

/// Guards against a switch without effect.
BOOST_AUTO_TEST_CASE(switchedOffSlowdownIsNotUsed)
{
    Fixture f(false);
    f.run(3);
    BOOST_TEST(f.requests[0] == 20);
}

/// Guards against an endpoint that is avoided for good because its figure is frozen, or because
/// its last report was one of a burst.
BOOST_AUTO_TEST_CASE(slowdownEndsWithoutNewValues)
{
    Fixture f;
    for (int i = 0; i < 20; ++i) {
        f.now += milliseconds(100);
        f.report(0, 8);
    }
    BOOST_TEST(f.endpoint(0).slowdown.factor(f.now) < 1.02);
    f.report(0, 9);
    BOOST_TEST(f.endpoint(0).slowdown.factor(f.now) > 4);
    BOOST_TEST(f.endpoint(0).slowdown.factor(f.now + std::chrono::seconds(3)) < 1.01);
}

/// Guards against a peer's report, which has no slowdown, that ends the known one.
BOOST_AUTO_TEST_CASE(peerReportKeepsTheSlowdown)
{
    Fixture f;
    f.report(0, 4);
    const double factor = f.endpoint(0).slowdown.factor(f.now);
    EndpointRegistry::mergeLoadReport(f.endpoint(0), {.running = 2, .slots = slots},
                                      f.now + milliseconds(1));
    BOOST_TEST(f.endpoint(0).slowdown.factor(f.now) == factor);
}
