#pragma once

#include "controller/endpointcalls.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// In-memory engines that answer the calls of a controller when a test calls deliver().
class FakeEngines
{
public:
    struct Engine
    {
        nlohmann::json state{{"model", "m"},  {"adapter", ""},     {"version", "v1"},
                             {"role", "any"}, {"draining", false}, {"loading", false}};
        std::uint64_t fencing = 0; ///< Highest fencing number received.
        bool checksFencing = true;
        bool isDown = false;
        int ordersToDrop = 0; ///< Number of next orders that never arrive.
        int responsesToDrop = 0; ///< Number of next orders that take effect without an answer.
        std::string unresponsivePath; ///< Path prefix of calls that are never answered.
        bool loadsForever = false; ///< Whether an order of a version starts a load that never ends.
        int running = 0;
        std::vector<std::string> chats;
        std::vector<std::string> requests; ///< Method and path, in order of arrival.
        std::vector<nlohmann::json> orders; ///< Bodies of received orders.
    };

    Engine &operator[](std::uint16_t port) { return m_engines[port]; }

    Lagoonbank::Controller::EndpointCalls calls(const bool *isPaused = nullptr)
    {
        return {.start = [this, isPaused](Lagoonbank::Http::Call call, auto maySend,
                                          auto finished) {
            m_calls.push_back({std::move(call), std::move(maySend), std::move(finished), isPaused});
        }};
    }

    /// Answers all calls of callers that are not paused, including calls started by these answers.
    void deliver()
    {
        const auto isDeliverable = [](const Pending &call) {
            return !call.isPaused || !*call.isPaused;
        };
        for (auto next = std::find_if(m_calls.begin(), m_calls.end(), isDeliverable);
             next != m_calls.end();
             next = std::find_if(m_calls.begin(), m_calls.end(), isDeliverable)) {
            const Pending call = std::move(*next);
            m_calls.erase(next);
            const std::string &unresponsive = m_engines[call.call.server.port].unresponsivePath;
            if (!unresponsive.empty() && call.call.target.starts_with(unresponsive))
                continue;
            call.finished(call.maySend() ? answer(call.call)
                                         : Lagoonbank::Http::CallResult{
                                             .end = Lagoonbank::Http::CallEnd::NotConnected});
        }
    }
    std::size_t pendingCalls() const { return m_calls.size(); }

private:
    struct Pending
    {
        Lagoonbank::Http::Call call;
        Lagoonbank::Controller::EndpointCalls::MaySend maySend;
        Lagoonbank::Controller::EndpointCalls::Finished finished;
        const bool *isPaused = nullptr;
    };
    using Result = Lagoonbank::Http::CallResult;

    static Result ok(const nlohmann::json &body) { return {.status = 200, .body = body.dump()}; }
    static Result broken()
    {
        return {.end = Lagoonbank::Http::CallEnd::Broken, .mayHaveBeenSent = true};
    }

    Result answer(const Lagoonbank::Http::Call &call)
    {
        Engine &engine = m_engines[call.server.port];
        const std::string path = call.target.substr(0, call.target.find('?'));
        if (engine.isDown)
            return broken();
        if (path == "/v1/order" && engine.ordersToDrop > 0) {
            --engine.ordersToDrop;
            return broken();
        }
        engine.requests.push_back(call.method + ' ' + path);
        if (path == "/v1/load")
            return ok(
                {{"work", 7.5}, {"age_ms", 40}, {"running", engine.running}, {"incarnation", 3}});
        if (path == "/v1/state")
            return ok(engine.state);
        if (path == "/v1/order")
            return order(engine, nlohmann::json::parse(call.body.view()));
        if (path == "/v1/cache/events")
            return cacheEvents(engine, call.target);
        if (path == "/v1/cache/export")
            return ok({{"chat", call.target.substr(call.target.find('=') + 1)}});
        if (path == "/v1/cache/import") {
            engine.chats.push_back(nlohmann::json::parse(call.body.view())["chat"]);
            return ok({{"tokens", 16}});
        }
        return {.status = 404};
    }
    static Result order(Engine &engine, const nlohmann::json &body)
    {
        engine.orders.push_back(body);
        const auto fencing = body["fencing"].get<std::uint64_t>();
        if (engine.checksFencing && fencing < engine.fencing)
            return {.status = 409};
        engine.fencing = std::max(engine.fencing, fencing);
        engine.state.update(body["set"]);
        if (engine.loadsForever && body["set"].contains("version"))
            engine.state["loading"] = true;
        if (engine.responsesToDrop > 0) {
            --engine.responsesToDrop;
            return broken();
        }
        return ok(engine.state);
    }
    static Result cacheEvents(const Engine &engine, const std::string &target)
    {
        nlohmann::json events = nlohmann::json::array();
        const std::size_t from = std::stoul(target.substr(target.find('=') + 1));
        for (std::size_t i = from; i < engine.chats.size(); ++i)
            events.push_back(
                {{"offset", i}, {"op", "stored"}, {"chat", engine.chats[i]}, {"tokens", 16}});
        return ok({{"first", 0}, {"next", engine.chats.size()}, {"events", events}});
    }

    std::map<std::uint16_t, Engine> m_engines;
    std::deque<Pending> m_calls;
};
