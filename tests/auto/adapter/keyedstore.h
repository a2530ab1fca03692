#pragma once

#include "auto/http/loopback.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// A fake of the platform's store, limited to the calls of routers and to keyed topics of one part.
class KeyedStore
{
public:
    explicit KeyedStore(Lagoonbank::Runtime::Loop &loop)
        : server({.loop = &loop, .address = {"127.0.0.1", 0}})
    {
        server.setHandler([this](const auto &request, const auto &responder) {
            const std::string topic = queryValue(request.query, "topic");
            ++calls;
            if (isSilent)
                m_unanswered.push_back(responder);
            else if (!isUp || (!topic.empty() && topic == unreadableTopic))
                answer(*responder, 503, {});
            else if (request.path == "/v1/log-newest")
                answer(*responder, 200, newest(topic, decoded(queryValue(request.query, "after"))));
            else if (request.path == "/v1/log-append")
                appended(topic, request.body, *responder);
            else
                read(topic, request.query, responder);
        });
        BOOST_REQUIRE(server.listen());
    }

    void write(const std::string &topic, const std::string &key, const std::string &value)
    {
        m_topics[topic].push_back({key, value});
        for (const auto &[from, responder] : std::exchange(m_waiting[topic], {}))
            answer(*responder, 200, tail(topic, from));
    }
    /// Takes the store out of service, which refuses the waiting reads.
    void goDown()
    {
        isUp = false;
        for (const auto &[topic, reads] : std::exchange(m_waiting, {})) {
            for (const auto &[from, responder] : reads)
                answer(*responder, 503, {});
        }
    }
    /// Writes all records of a topic of another store.
    void copyTopic(const KeyedStore &other, const std::string &topic)
    {
        const auto records = other.m_topics.find(topic);
        if (records == other.m_topics.end())
            return;
        for (const auto &[key, value] : records->second)
            write(topic, key, value);
    }
    /// All keys of a topic that have been written.
    std::set<std::string> keys(const std::string &topic) const
    {
        std::set<std::string> keys;
        if (const auto records = m_topics.find(topic); records != m_topics.end()) {
            for (const auto &[key, value] : records->second)
                keys.insert(key);
        }
        return keys;
    }
    void saveCopy() { m_copy = m_topics; }
    /// Brings the store back as it was at the last saveCopy(), in the next era.
    void restoreCopy()
    {
        goDown();
        m_topics = m_copy;
        ++m_era;
        isUp = true;
    }
    /// Writes a configuration with one route, from /p/ of host h to service s.
    void writeRoute(int revision = 7, const std::string &prefix = "/p/",
                    const std::string &kind = "idempotent", bool isResumable = true)
    {
        write("keyed.op", "config",
              R"({"version":)" + std::to_string(revision)
                  + R"(,"routes":[{"name":"r","host":"h","prefix":")" + prefix + R"(","kind":")"
                  + kind + R"(","resumable":)" + (isResumable ? "true" : "false")
                  + R"(,"service":"s","max_attempts":2,
                       "timeout_ms":8000,"target_latency_ms":4000}]})");
    }
    struct EndpointEntry
    {
        int startedAt = 1; ///< Unix time in milliseconds.
        int slots = 4;
        bool isDraining = false;
        int sequence = 1;
        std::string softwareVersion = "v1";
    };
    /// Writes the entry of an endpoint of service s.
    void writeEndpoint(const std::string &id, const Lagoonbank::Runtime::SocketAddress &address,
                       const EndpointEntry &entry)
    {
        write("keyed.servers", id,
              R"({"service":"s","address":")" + Lagoonbank::Runtime::toString(address)
                  + R"(","zone":"dc0","version":")" + entry.softwareVersion + R"(","slots":)"
                  + std::to_string(entry.slots) + R"(,"state":")"
                  + (entry.isDraining ? "draining" : "ready") + R"(","seq":)"
                  + std::to_string(entry.sequence) + R"(,"warmup_left_ms":0,"born":)"
                  + std::to_string(entry.startedAt) + "}");
    }

    bool isUp = true;
    bool isSilent = false; ///< Calls get no answer.
    std::string unreadableTopic; ///< All calls for this topic are refused.
    std::size_t pageSize = 500; ///< Maximum number of items of a page of a listing.
    int calls = 0;
    Lagoonbank::Http::Server server;

private:
    using Responder = std::shared_ptr<Lagoonbank::Http::Responder>;
    using Topics = std::map<std::string, std::vector<std::pair<std::string, std::string>>>;

    void answer(Lagoonbank::Http::Responder &responder, int status, std::string body) const
    {
        responder.send(status, {{"store-era", std::to_string(m_era)}}, std::move(body));
    }

    static std::string queryValue(const std::string &query, const std::string &name)
    {
        const std::string text = "&" + query;
        const std::size_t at = text.find("&" + name + "=");
        if (at == std::string::npos)
            return {};
        const std::size_t begin = at + name.size() + 2;
        return text.substr(begin, text.find('&', begin) - begin);
    }
    static std::string number(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text += static_cast<char>(value >> (8U * static_cast<unsigned>(i)) & 0xffU);
        return text;
    }
    void appended(const std::string &topic, std::string_view body,
                  Lagoonbank::Http::Responder &responder)
    {
        constexpr std::size_t lengthBytes = 4;
        body.remove_prefix(lengthBytes);
        const auto keySize = static_cast<unsigned char>(body.front());
        const std::size_t offset = m_topics[topic].size();
        write(topic, std::string(body.substr(1, keySize)), std::string(body.substr(1U + keySize)));
        answer(responder, 200,
               R"({"offset":)" + std::to_string(offset) + R"(,"end":)" + std::to_string(offset + 1)
                   + "}");
    }
    static std::string decoded(const std::string &text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool isEncoded = text[i] == '%' && i + 2 < text.size();
            plain += isEncoded ? static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16))
                               : text[i];
            i += isEncoded ? 2 : 0;
        }
        return plain;
    }
    std::string newest(const std::string &topic, const std::string &after)
    {
        const auto &records = m_topics[topic];
        std::map<std::string, std::size_t> offsets;
        for (std::size_t i = 0; i < records.size(); ++i)
            offsets[records[i].first] = i;
        std::string itemsJson;
        std::size_t items = 0;
        bool hasMore = false;
        for (const auto &[key, offset] : offsets) {
            if (records[offset].second.empty() || (!after.empty() && key <= after))
                continue;
            hasMore = items == pageSize;
            if (hasMore)
                break;
            ++items;
            constexpr auto replaceInvalid = nlohmann::json::error_handler_t::replace;
            itemsJson += (itemsJson.empty() ? R"({"key":)" : R"(,{"key":)")
                + nlohmann::json(key).dump(-1, ' ', false, replaceInvalid) + R"(,"value":")"
                + std::string(absl::Base64Escape(records[offset].second)) + R"(","offset":)"
                + std::to_string(offset) + "}";
        }
        return R"({"items":[)" + itemsJson + R"(],"has_more":)" + (hasMore ? "true" : "false")
            + R"(,"end":)" + std::to_string(records.size()) + "}";
    }
    std::string tail(const std::string &topic, std::uint64_t from)
    {
        const auto &records = m_topics[topic];
        std::string text = number(records.size(), 8) + number(0, 8);
        for (std::size_t i = from; i < records.size(); ++i) {
            const auto &[key, value] = records[i];
            text += number(1 + key.size() + value.size(), 4);
            text += number(key.size(), 1);
            text += key;
            text += value;
        }
        return text;
    }
    void read(const std::string &topic, const std::string &query, const Responder &responder)
    {
        const std::uint64_t from = std::stoull(queryValue(query, "from"));
        const bool waits = queryValue(query, "wait_ms") != "0";
        if (from > m_topics[topic].size())
            answer(*responder, 410, R"({"first":0})");
        else if (from < m_topics[topic].size() || !waits)
            answer(*responder, 200, tail(topic, from));
        else
            m_waiting[topic].push_back({from, responder});
    }

    Topics m_topics;
    std::vector<Responder> m_unanswered;
    Topics m_copy; ///< Content at the last saveCopy().
    int m_era = 1;
    std::map<std::string, std::vector<std::pair<std::uint64_t, Responder>>> m_waiting;
};
