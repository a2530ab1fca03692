#pragma once

#include "auto/platformclient/fakeplatform.h"
#include "operations/command.h"

#include <absl/strings/match.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Answers a command's calls to the log and to the admin ports of processes, with a manual clock.
class FakeFleet
{
public:
    using Json = Lagoonbank::Operations::Json;

    enum class AppendBehaviour : std::uint8_t { Answered, AnswerLost, Lost, Limited };

    FakeFleet()
        : m_client({.transport = m_platform.transport(),
                    .timers = &m_platform.timers,
                    .appendTimeout = std::chrono::seconds(1),
                    .readBackTimeout = std::chrono::seconds(1),
                    .readTimeout = std::chrono::seconds(1)})
    { }

    Lagoonbank::Operations::Context context(const std::string &operatorName = "amna")
    {
        return {.timers = &m_platform.timers,
                .log = &m_client,
                .platform = m_platform.transport(),
                .admin = m_platform.transport(),
                .admins = admins,
                .operatorName = operatorName,
                .invocation = "run" + std::to_string(++m_invocations),
                .timeout = std::chrono::seconds(3),
                .print = [this](const std::string &text) { printed += text; }};
    }

    /// Runs the command and answers its calls until it has its report.
    Lagoonbank::Operations::Report run(Lagoonbank::Operations::Command &command)
    {
        std::optional<Lagoonbank::Operations::Report> report;
        command.start([&](Lagoonbank::Operations::Report ended) { report = std::move(ended); });
        for (int step = 0; step < maxSteps && !report; ++step)
            answerOrWait();
        BOOST_REQUIRE(report);
        return *report;
    }

    std::vector<Json> &records(const std::string &stream) { return m_streams[stream]; }
    void add(const std::string &stream, const std::string &id, const std::string &data)
    {
        records(stream).push_back({{"offset", records(stream).size()}, {"id", id}, {"data", data}});
    }

    bool isLogUnavailable = false;
    std::deque<AppendBehaviour> appendBehaviours; ///< Of the next appends; later ones are answered.
    std::function<void()> beforeAppend; ///< Called once, for a concurrent change.
    std::vector<Lagoonbank::Runtime::SocketAddress> admins;
    /// Returns the answer of the admin port at an ip to a target. Returns nothing to refuse the
    /// connection, or an empty text for status 404.
    std::function<std::optional<std::string>(const std::string &ip, const std::string &target)>
        admin;
    Json vms = Json::array();
    /// Retention removed the earlier records of all streams.
    std::uint64_t firstRetainedOffset = 0;
    std::string printed;

private:
    static constexpr int maxSteps = 10000;

    void answerOrWait()
    {
        if (m_platform.calls.empty())
            return m_platform.advance(std::chrono::milliseconds(10));
        const Lagoonbank::Http::Call call = m_platform.calls.front().call;
        if (call.server.port != 0)
            return answerAdmin(call);
        if (isLogUnavailable) {
            m_platform.answer(503, "{}");
        } else if (call.target == "/vms") {
            m_platform.answer(200, Json{{"vms", vms}}.dump());
        } else if (call.method == "POST") {
            answerAppend(call);
        } else {
            answerRead(call.target);
        }
    }
    void answerAdmin(const Lagoonbank::Http::Call &call)
    {
        const auto body = admin ? admin(call.server.ip, call.target) : std::nullopt;
        if (!body)
            m_platform.refuseConnection();
        else if (body->empty())
            m_platform.answer(404, R"({"error": "not known"})");
        else
            m_platform.answer(200, *body);
    }
    static std::string streamOf(const std::string &target)
    {
        const std::string rest = target.substr(std::string("/log/").size());
        return rest.substr(0, rest.find_first_of("/?"));
    }
    void answerAppend(const Lagoonbank::Http::Call &call)
    {
        if (const auto hook = std::exchange(beforeAppend, nullptr))
            hook();
        AppendBehaviour behaviour = AppendBehaviour::Answered;
        if (!appendBehaviours.empty()) {
            behaviour = appendBehaviours.front();
            appendBehaviours.pop_front();
        }
        if (behaviour == AppendBehaviour::Limited) {
            m_platform.answer(429, "{}");
            return;
        }
        Json offsets = Json::array();
        const Json body = Json::parse(call.body.view());
        for (const Json &record : body["records"]) {
            if (behaviour == AppendBehaviour::Lost)
                continue;
            offsets.push_back(records(streamOf(call.target)).size());
            add(streamOf(call.target), record["id"], record["data"]);
        }
        if (behaviour == AppendBehaviour::Answered)
            m_platform.answer(200, Json{{"offsets", offsets}}.dump());
        else
            m_platform.loseAnswer();
    }
    void answerRead(const std::string &target)
    {
        const std::size_t fromPosition = target.find("from=") + std::string("from=").size();
        const std::uint64_t from =
            std::max(firstRetainedOffset,
                     static_cast<std::uint64_t>(std::atoll(target.c_str() + fromPosition)));
        const std::vector<Json> &all = records(streamOf(target));
        Json page = Json::array();
        for (std::size_t i = from; i < all.size(); ++i)
            page.push_back(all[i]);
        const std::uint64_t next = std::max<std::uint64_t>(from, all.size());
        m_platform.answer(
            200, Json{{"first", firstRetainedOffset}, {"next", next}, {"records", page}}.dump());
    }

    FakePlatform m_platform;
    Lagoonbank::PlatformClient::LogClient m_client;
    std::map<std::string, std::vector<Json>> m_streams;
    int m_invocations = 0;
};
