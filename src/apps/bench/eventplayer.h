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

/// Plays an experiment's time line: orders faults itself and writes a mark for each event, so that
/// a script beside it can publish, kill or restart (a process starts no other).
///
/// A mark is one JSON line {"at_ms", "kind", "target", "text"}. For a drain the script answers by
/// a line {"kind": "drain" or "undrain", "endpoint", "accepted_ms"} in the acceptances file.
class EventPlayer
{
public:
    struct Options
    {
        Runtime::Loop *loop = nullptr;
        Http::Client *client = nullptr;
        const Experiment::Definition *definition = nullptr;
        std::string marksFile; ///< Empty: no marks are written.
        std::string acceptancesFile; ///< Empty: no drain counts as accepted.
    };

    explicit EventPlayer(const Options &options);

    /// Schedules all events from now on and writes the mark "start".
    void start();
    /// Clears all faults and writes the mark "end"; \a done when that was answered.
    void end(const std::function<void()> &done);
    /// The drains that the acceptances file tells of.
    std::vector<Experiment::DrainMark> drains() const;
    const std::vector<std::string> &notes() const { return m_notes; }

private:
    void play(const Experiment::Event &event);
    void send(const std::string &method, const std::string &address, const std::string &target,
              const std::string &body, const std::function<void()> &done);
    std::string addressOf(const std::string &endpoint) const;
    void mark(std::string_view kind, const std::string &target, const std::string &text);

    Options m_options;
    const Experiment::Definition &m_definition;
    std::ofstream m_marks;
    std::vector<std::string> m_notes;
};

} // namespace Lagoonbank::Bench
