#pragma once

#include "operations/adminclient.h"
#include "operations/command.h"
#include "timeline/event.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lagoonbank::Operations {

/// Output format of a timeline.
enum class TimelineFormat : std::uint8_t { Text, Json, Html };

std::optional<TimelineFormat> timelineFormat(std::string_view name);

/// Selects events.
struct EventQuery
{
    std::optional<Base::Duration> since; ///< Only events of this period before now.
    std::string workspace;
    std::string endpoint;
    std::string request;
};

/// Path and query that request these events from an admin port. Events with a sequence up to
/// `after` are left out.
std::string eventsTarget(const EventQuery &query, Base::WallTime now, std::uint64_t after);
/// Merges the events of all answers in causal order.
std::vector<Timeline::ProcessEvent> mergedEvents(const std::vector<AdminAnswer> &answers);

/// `timeline`: shows the events of all processes in causal order.
class TimelineCommand final : public Command
{
public:
    struct Options
    {
        EventQuery query;
        TimelineFormat format = TimelineFormat::Text;
        std::string file; ///< Written instead of standard output.
        bool follows = false;
    };

    TimelineCommand(const Context &context, Options options);
    ~TimelineCommand() override;
    TimelineCommand(const TimelineCommand &) = delete;
    TimelineCommand &operator=(const TimelineCommand &) = delete;

    void start(Finished finished) override;

private:
    void queryEvents();
    void answered(const std::vector<AdminAnswer> &answers);
    void updateLastSequences(const std::vector<AdminAnswer> &answers);
    std::string render(const std::vector<Timeline::ProcessEvent> &events) const;
    Report report(const std::vector<AdminAnswer> &answers) const;

    const Context &m_context;
    Options m_options;
    AdminClient m_client;
    std::optional<Base::WallTime> m_firstQueryTime; ///< Later queries use it too.
    std::map<Runtime::SocketAddress, std::uint64_t> m_lastSequences; ///< Of each process.
    std::string m_unreached;
    Runtime::TimerId m_timer;
    Finished m_finished;
};

} // namespace Lagoonbank::Operations
