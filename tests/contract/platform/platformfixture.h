#pragma once

#include "auto/http/loopback.h"
#include "standins/platform/platform.h"

#include <string>

/// The platform stand-in and an HTTP client on one loop with a manual clock.
struct PlatformFixture : Lagoonbank::Test::PausedLoop
{
    explicit PlatformFixture(Lagoonbank::Standins::Platform::Platform::Options options = {})
        : platform(withFixtureTimers(options))
    {
        server.setHandler([this](const auto &request, const auto &responder) {
            platform.handle(request, responder);
        });
        BOOST_REQUIRE(server.listen());
    }

    Lagoonbank::Standins::Platform::Platform::Options
    withFixtureTimers(Lagoonbank::Standins::Platform::Platform::Options options)
    {
        options.timers = &loop.timers();
        return options;
    }
    /// Advances the clock in small steps until \a condition holds, for \a limit at most.
    bool advanceUntil(const std::function<bool()> &condition,
                      Lagoonbank::Base::Duration limit = std::chrono::seconds(30))
    {
        constexpr Lagoonbank::Base::Duration step = std::chrono::milliseconds(20);
        for (auto remaining = limit; remaining > remaining.zero() && !condition();
             remaining -= step) {
            clock.advance(step);
            loop.runOnce(std::chrono::milliseconds(1));
        }
        return condition();
    }
    void advanceInSteps(Lagoonbank::Base::Duration duration)
    {
        advanceUntil([] { return false; }, duration);
    }
    Lagoonbank::Http::CallResult call(const std::string &method, const std::string &target,
                                      const std::string &body = {})
    {
        std::optional<Lagoonbank::Http::CallResult> result;
        client.start({.server = server.address(), .method = method, .target = target, .body = body},
                     {.finished = [&](const auto &ended) { result = ended; }});
        BOOST_REQUIRE(runUntil([&] { return result.has_value(); }));
        return *result;
    }
    void injectFault(const std::string &fault)
    {
        BOOST_REQUIRE_EQUAL(call("POST", "/faults", fault).status, 200);
    }

    Lagoonbank::Standins::Platform::Platform platform;
    Lagoonbank::Http::Server server{{.loop = &loop, .address = {"127.0.0.1", 0}}};
    Lagoonbank::Http::Client client{{.loop = &loop}};
};
