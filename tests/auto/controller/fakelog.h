#pragma once

#include "platformclient/transport.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <vector>

/// An in-memory stream of the platform's log that simulates outages and lost answers.
class FakeLog
{
public:
    bool isUnavailable = false;
    int responsesToDrop = 0; ///< Number of next appends that take effect without an answer.

    Lagoonbank::PlatformClient::Transport transport(const bool *isPaused)
    {
        return {.start =
                    [this, isPaused](Lagoonbank::Http::Call call, auto finished) {
                        const Lagoonbank::Http::CallId id(++m_lastId);
                        m_calls.push_back({id, std::move(call), std::move(finished), isPaused});
                        return id;
                    },
                .cancel =
                    [this](Lagoonbank::Http::CallId id) {
                        std::erase_if(m_calls, [&](const Pending &call) { return call.id == id; });
                    }};
    }

    /// Answers the pending calls of callers that are not paused. Calls of paused callers also take
    /// effect, but are answered only after the caller resumes.
    void deliver()
    {
        std::deque<Pending> pendingCalls = std::exchange(m_calls, {});
        for (Pending &call : pendingCalls) {
            if (!call.isAnswered) {
                call.isAnswered = true;
                call.result = answer(call.call);
            }
            if (*call.isPaused)
                m_calls.push_back(std::move(call));
            else
                call.finished(call.result);
        }
    }
    std::size_t size() const { return m_records.size(); }

private:
    struct Pending
    {
        Lagoonbank::Http::CallId id;
        Lagoonbank::Http::Call call;
        Lagoonbank::PlatformClient::Transport::Finished finished;
        const bool *isPaused = nullptr;
        bool isAnswered = false;
        Lagoonbank::Http::CallResult result;
    };

    Lagoonbank::Http::CallResult answer(const Lagoonbank::Http::Call &call)
    {
        using nlohmann::json;
        if (isUnavailable)
            return {.mayHaveBeenSent = true, .status = 503, .body = R"({"error": "out"})"};
        if (call.method == "POST") {
            json offsets = json::array();
            const json body = json::parse(call.body.view());
            for (const json &record : body["records"]) {
                offsets.push_back(m_records.size());
                m_records.push_back(record);
            }
            if (responsesToDrop > 0) {
                --responsesToDrop;
                return {.end = Lagoonbank::Http::CallEnd::Broken, .mayHaveBeenSent = true};
            }
            return {
                .mayHaveBeenSent = true, .status = 200, .body = json{{"offsets", offsets}}.dump()};
        }
        const std::size_t from = std::stoul(call.target.substr(call.target.find("from=") + 5));
        json records = json::array();
        for (std::size_t i = from; i < m_records.size(); ++i) {
            records.push_back(
                {{"offset", i}, {"id", m_records[i]["id"]}, {"data", m_records[i]["data"]}});
        }
        const json page{{"first", 0}, {"next", m_records.size()}, {"records", records}};
        return {.mayHaveBeenSent = true, .status = 200, .body = page.dump()};
    }

    std::vector<nlohmann::json> m_records;
    std::deque<Pending> m_calls;
    std::uint64_t m_lastId = 0;
};
