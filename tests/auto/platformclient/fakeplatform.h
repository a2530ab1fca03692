#pragma once

#include "platformclient/transport.h"
#include "runtime/clock.h"
#include "runtime/timerqueue.h"

#include <deque>
#include <string>
#include <utility>

/// Receives calls in place of the platform; tests decide when and how they are answered.
class FakePlatform
{
public:
    struct Pending
    {
        Lagoonbank::Http::CallId id;
        Lagoonbank::Http::Call call;
        Lagoonbank::PlatformClient::Transport::Finished finished;
    };

    Lagoonbank::PlatformClient::Transport transport()
    {
        return {.start =
                    [this](Lagoonbank::Http::Call call, auto finished) {
                        const Lagoonbank::Http::CallId id{++m_lastId};
                        calls.push_back({id, std::move(call), std::move(finished)});
                        return id;
                    },
                .cancel =
                    [this](Lagoonbank::Http::CallId id) {
                        std::erase_if(calls, [id](const Pending &call) { return call.id == id; });
                    }};
    }

    /// Advances the clock in small steps, so that timers started by other timers run too.
    void advance(Lagoonbank::Base::Duration duration)
    {
        constexpr Lagoonbank::Base::Duration step = std::chrono::milliseconds(1);
        timers.runDue();
        for (; duration > step; duration -= step) {
            clock.advance(step);
            timers.runDue();
        }
        clock.advance(duration);
        timers.runDue();
    }

    /// Finishes the oldest call and returns it.
    Lagoonbank::Http::Call finish(const Lagoonbank::Http::CallResult &result)
    {
        Pending pending = std::move(calls.front());
        calls.pop_front();
        pending.finished(result);
        return pending.call;
    }
    Lagoonbank::Http::Call answer(int status, const std::string &body,
                                  const Lagoonbank::Http::Headers &headers = {})
    {
        return finish(
            {.mayHaveBeenSent = true, .status = status, .headers = headers, .body = body});
    }
    /// Loses the answer: the connection breaks, or stays silent until the timeout.
    Lagoonbank::Http::Call
    loseAnswer(Lagoonbank::Http::CallEnd end = Lagoonbank::Http::CallEnd::TimedOut)
    {
        return finish({.end = end, .mayHaveBeenSent = true});
    }
    Lagoonbank::Http::Call refuseConnection()
    {
        return finish({.end = Lagoonbank::Http::CallEnd::NotConnected});
    }

    Lagoonbank::Runtime::ManualClock clock;
    Lagoonbank::Runtime::TimerQueue timers{clock};
    std::deque<Pending> calls;

private:
    std::uint64_t m_lastId = 0;
};
