#define BOOST_TEST_MODULE tst_refusingendpoint
#include <boost/test/unit_test.hpp>

#include "gateway/endpointhealth.h"
#include "gateway/placement.h"
#include "logging/boundedoutput.h"

#include <array>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Gateway;
using std::chrono::milliseconds;

// Endpoints of a plain service that refuse requests at once, in a model without network.

namespace {

/// One router before five endpoints, some of which refuse each request at once. The others
/// answer after 40 ms.
class Model
{
public:
    Model(std::set<int> refusing, unsigned seed)
        : m_refusing(std::move(refusing))
        , m_random(seed)
    {
        for (int i = 0; i < endpointCount; ++i) {
            m_registry.put(
                {.id = Base::EndpointId(std::to_string(i)), .service = m_service, .slots = 6},
                m_clock.now());
        }
    }
    /// Sends requests at random times; each again, up to four times, if it was refused.
    void run(Base::Duration time, double requestsPerSecond)
    {
        const Base::MonoTime end = m_clock.now() + time;
        std::exponential_distribution<double> pause(requestsPerSecond);
        while (m_clock.now() < end) {
            m_clock.advance(std::chrono::duration_cast<Base::Duration>(
                std::chrono::duration<double>(pause(m_random))));
            finishAnswers();
            ++requests;
            request();
        }
    }

    void setRefusing(std::set<int> refusing) { m_refusing = std::move(refusing); }
    int received(int endpoint) const { return m_received.at(static_cast<std::size_t>(endpoint)); }

    int requests = 0;
    int repeats = 0; ///< Sends beyond the first.
    int refusals = 0;

private:
    static constexpr int endpointCount = 5;
    static constexpr std::size_t maxAttempts = 4;

    struct Answer
    {
        Base::MonoTime due;
        EndpointPtr endpoint;
    };

    void request()
    {
        std::vector<EndpointPtr> tried;
        while (tried.size() < maxAttempts) {
            const EndpointPtr endpoint =
                m_placement
                    .choose({.service = m_service, .triedEndpoints = tried, .waitingPerSlot = 3},
                            m_registry, m_clock.now())
                    .endpoint;
            if (!endpoint)
                return;
            repeats += tried.empty() ? 0 : 1;
            tried.push_back(endpoint);
            m_registry.requestSent(*endpoint, m_clock.now());
            ++m_received.at(std::stoul(endpoint->info.id.value()));
            if (!m_refusing.contains(std::stoi(endpoint->info.id.value()))) {
                m_answers.push_back({m_clock.now() + milliseconds(40), endpoint});
                return;
            }
            ++refusals;
            refuse(*endpoint);
        }
    }
    void refuse(EndpointRecord &endpoint)
    {
        m_clock.advance(milliseconds(2));
        m_registry.loadReported(endpoint, {.slots = 6}, m_clock.now());
        m_registry.requestEnded(endpoint);
        m_health.requestRefused(endpoint, false, m_request);
    }
    void finishAnswers()
    {
        while (!m_answers.empty() && m_answers.front().due <= m_clock.now()) {
            EndpointRecord &endpoint = *m_answers.front().endpoint;
            m_registry.loadReported(endpoint, {.running = endpoint.inFlight, .slots = 6},
                                    m_clock.now());
            m_registry.requestEnded(endpoint);
            m_registry.answerTimed(endpoint, milliseconds(40), milliseconds(150), m_clock.now());
            m_health.answered(endpoint, true, m_request);
            m_answers.erase(m_answers.begin());
        }
    }

    std::set<int> m_refusing;
    std::array<int, endpointCount> m_received{};
    std::mt19937 m_random;
    Base::ServiceId m_service{"service"};
    Base::RequestId m_request{"r"};
    Runtime::ManualClock m_clock;
    Logging::BoundedOutput m_output{{.descriptor = -1}};
    Logging::DecisionLog m_log{{.output = &m_output,
                                .wallNow = [this] { return m_clock.wallNow(); },
                                .now = [this] { return m_clock.now(); }}};
    EndpointRegistry m_registry{{}};
    EndpointHealth m_health{{.registry = &m_registry, .clock = &m_clock, .log = &m_log}};
    Placement m_placement{{}};
    std::vector<Answer> m_answers;
};

/// Retries of a fleet may be this share of its requests.
constexpr double retryRatio = 0.2;

} // namespace

/// Guards against endpoints that are chosen first because they refuse each request at once, which
/// leaves no load there, until the retry budget is spent.
BOOST_AUTO_TEST_CASE(refusingEndpointsAreNotPreferred)
{
    for (const std::set<int> &refusing : {std::set<int>{0}, std::set<int>{1, 3}}) {
        int requests = 0;
        int repeats = 0;
        for (unsigned seed = 1; seed <= 20; ++seed) {
            Model model(refusing, seed);
            model.run(std::chrono::seconds(12), 1.5);
            requests += model.requests;
            repeats += model.repeats;
        }
        BOOST_TEST_MESSAGE(refusing.size() << " refuse: " << repeats << " repeats of " << requests);
        BOOST_TEST(repeats <= retryRatio * requests);
    }
}

/// Guards against an endpoint that stays unused after it has ceased to refuse. Half of its share is
/// enough, as the others are not busy.
BOOST_AUTO_TEST_CASE(endpointIsUsedAgainAfterItsRefusals)
{
    for (const double requestsPerSecond : {1.5, 20.0, 200.0}) {
        Model model({0}, 1);
        model.run(std::chrono::seconds(5), requestsPerSecond);
        model.setRefusing({});
        model.run(std::chrono::seconds(15), requestsPerSecond);
        const int requests = model.requests;
        const int received = model.received(0);
        model.run(std::chrono::seconds(20), requestsPerSecond);
        const double share = double(model.received(0) - received) / (model.requests - requests);
        BOOST_TEST(share >= 0.1, requestsPerSecond << " requests a second: " << share);
    }
}

/// Guards against requests that are refused at the router while endpoints may accept some again.
BOOST_AUTO_TEST_CASE(endpointsAreTriedWhileAllRefuse)
{
    Model model({0, 1, 2, 3, 4}, 1);
    model.run(std::chrono::seconds(5), 20);
    const int before = model.refusals;
    model.run(std::chrono::seconds(5), 20);
    BOOST_TEST(model.refusals > before);
}
