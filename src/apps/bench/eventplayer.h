#pragma once

#include "experiment/definition.h"
#include "experiment/records.h"
#include "http/client.h"
#include "runtime/loop.h"

#include <fstream>
#include <functional>
#include <string>
#include <vector>

namespace Lagoonbank::Bench {

/// Runs the time line of an experiment. It injects faults itself and writes a mark for each event,
/// from which a script running alongside publishes configuration or kills and restarts processes,
/// because this program does not start processes.
///
/// A mark is one JSON line {"at_ms", "kind", "target", "text"}. The script confirms a drain by a
/// line
/// {"kind": "drain" or "undrain", "endpoint", "accepted_ms"} in the acceptances file.
class EventPlayer
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        const Experiment::Definition *definition = nullptr;
        std::string marksFile; ///< No marks are written if empty.
        std::string acceptancesFile; ///< No drain counts as accepted if empty.
    };

    explicit EventPlayer(const Options &options);

    /// Writes the mark "start" and schedules all events relative to the current time.
    void start();
    /// Writes the mark "end" and clears all faults. Calls \a done when all requests to clear them
    /// have ended.
    void end(const std::function<void()> &done);
    /// Drains recorded in the acceptances file.
    std::vector<Experiment::DrainPeriod> drains() const;
    const std::vector<std::string> &notes() const { return m_notes; }

private:
    void runEvent(const Experiment::Event &event);
    void send(const std::string &method, const std::string &address, const std::string &target,
              const std::string &body, const std::function<void()> &done);
    std::string addressOf(const std::string &endpoint) const;
    void writeMark(std::string_view kind, const std::string &target, const std::string &text);

    Options m_options;
    const Experiment::Definition &m_definition;
    std::ofstream m_marks;
    std::vector<std::string> m_notes;
};

} // namespace Lagoonbank::Bench
