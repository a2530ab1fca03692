#pragma once

#include "auto/http/loopback.h"
#include "standins/platform/platform.h"

#include <string>

/// The platform's stand-in and a client of it on one loop whose clock stands still.
struct PlatformFixture : Lagoonbank::Test::PausedLoop
{
    explicit PlatformFixture(Lagoonbank::Standins::Platform::Platform::Options options = {})
        : platform(onLoop(options))
    {
        server.setHandler([this](const auto &request, const auto &responder) {
            platform.handle(request, responder);
        });
        BOOST_REQUIRE(server.listen());
    }

    Lagoonbank::Standins::Platform::Platform::Options
    onLoop(Lagoonbank::Standins::Platform::Platform::Options options)
    {
        options.timers = &loop.timers();
        return options;
    }
    /// Lets the clock run in small steps until \a condition holds.
    bool runOnUntil(const std::function<bool()> &condition,
                    Lagoonbank::Base::Duration limit = std::chrono::seconds(30))
    {
        constexpr Lagoonbank::Base::Duration step = std::chrono::milliseconds(20);
        for (auto left = limit; left > left.zero() && !condition(); left -= step) {
            clock.advance(step);
            loop.runOnce(std::chrono::milliseconds(1));
        }
        return condition();
    }
    void runOn(Lagoonbank::Base::Duration duration)
    {
        runOnUntil([] { return false; }, duration);
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
    void order(const std::string &fault)
    {
        BOOST_REQUIRE_EQUAL(call("POST", "/faults", fault).status, 200);
    }

    Lagoonbank::Standins::Platform::Platform platform;
    Lagoonbank::Http::Server server{{.loop = &loop, .address = {"127.0.0.1", 0}}};
    Lagoonbank::Http::Client client{{.loop = &loop}};
};
