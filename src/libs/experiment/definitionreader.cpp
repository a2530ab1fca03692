#include "experiment/definitionreader.h"

#include "experiment/textparts.h"
#include "experiment/yamlreader.h"

#include <algorithm>
#include <filesystem>
#include <limits>
#include <map>

namespace Lagoonbank::Experiment {

namespace {

using Internal::FileError;
using Internal::joined;
using Internal::splitParts;
using Internal::toNumber;
using Internal::YamlReader;

constexpr double maxSeconds = 3600;
constexpr double maxRate = 1'000'000;
constexpr double maxTokens = 1'000'000;
constexpr int maxOctet = 255;
constexpr int loopbackNet = 127;
constexpr int maxPort = 65535;

/// Reads a loopback address; \a net, if given, replaces the second octet.
std::string readIp(const YamlReader &yaml, std::optional<int> net)
{
    const std::string text = yaml.text();
    std::vector<int> octets;
    for (const std::string_view part : splitParts(text, '.'))
        octets.push_back(toNumber<int>(part).value_or(-1));
    const bool isValid = octets.size() == 4
        && std::all_of(octets.begin(), octets.end(),
                       [](int octet) { return octet >= 0 && octet <= maxOctet; });
    if (!isValid)
        yaml.fail(joined("'", yaml.text(), "' is no IPv4 address"));
    if (octets.front() != loopbackNet)
        yaml.fail("the bench loads loopback addresses (127.x.x.x) alone");
    if (net)
        octets[1] = *net;
    return joined(octets[0], ".", octets[1], ".", octets[2], ".", octets[3]);
}

Base::Duration readSeconds(const YamlReader &yaml)
{
    return Base::fromSeconds(yaml.number(0, maxSeconds));
}

Distribution readDistribution(const YamlReader &yaml, double max)
{
    if (yaml.node().IsScalar()) {
        const double value = yaml.number(0, max);
        return {value, value, value};
    }
    yaml.expectMap({"min", "mean", "max"});
    Distribution distribution;
    distribution.min = yaml.at("min").number(0, max);
    distribution.max = yaml.at("max").number(distribution.min, max);
    distribution.mean = yaml.at("mean").number(distribution.min, distribution.max);
    return distribution;
}

Distribution readDistribution(const YamlReader &yaml, const char *key, double fallback, double max)
{
    return yaml.has(key) ? readDistribution(yaml.at(key), max)
                         : Distribution{fallback, fallback, fallback};
}

class DefinitionReader
{
public:
    explicit DefinitionReader(const ReadOptions &options)
        : m_options(options)
    { }

    Definition read()
    {
        const YamlReader yaml = YamlReader::load(m_options.file);
        yaml.expectMap({"name", "policy", "seed", "seconds", "warm_up", "deployment", "balancer",
                        "health_check", "retries", "deadline", "skew_bound", "cache_block_tokens",
                        "workspaces", "time_line"});
        readGeneral(yaml);
        readDeployment(yaml.at("deployment"));
        readWorkspaces(yaml.at("workspaces"));
        if (yaml.has("time_line"))
            readEvents(yaml.at("time_line"));
        return std::move(m_result);
    }

private:
    void readGeneral(const YamlReader &yaml)
    {
        constexpr std::int64_t maxSeed = std::numeric_limits<std::int64_t>::max();
        m_result.name = yaml.at("name").text();
        m_result.policy = yaml.text("policy", "");
        m_result.seed = m_options.seed.value_or(
            static_cast<std::uint64_t>(yaml.at("seed").integer(0, maxSeed)));
        const double length = yaml.at("seconds").number(0.1, maxSeconds);
        m_result.length = Base::fromSeconds(m_options.seconds.value_or(length));
        m_result.warmUp = Base::fromSeconds(yaml.number("warm_up", 0, 0, maxSeconds));
        m_result.healthCheckInterval =
            Base::fromSeconds(yaml.number("health_check", 0.2, 0.01, 60));
        m_result.retriesOnRetryAfter = static_cast<int>(yaml.number("retries", 0, 0, 100));
        m_result.callDeadline = Base::fromSeconds(yaml.number("deadline", 30, 0.01, maxSeconds));
        m_result.skewBound = yaml.number("skew_bound", m_result.skewBound, 1, 100);
        m_result.cacheBlockTokens =
            static_cast<int>(yaml.number("cache_block_tokens", 16, 1, maxTokens));
        const std::string balancer = yaml.text("balancer", "random");
        if (balancer != "random" && balancer != "sticky")
            yaml.at("balancer").fail("'balancer' must be random or sticky");
        m_result.balancer = balancer == "sticky" ? Balancer::Sticky : Balancer::Random;
    }

    void readDeployment(const YamlReader &deploymentKey)
    {
        const auto folder = std::filesystem::path(m_options.file).parent_path();
        const std::string file = (folder / deploymentKey.text()).lexically_normal().string();
        if (!std::filesystem::exists(file))
            deploymentKey.fail(joined("deployment file '", file, "' is not there"));
        const YamlReader yaml = YamlReader::load(file);
        if (!yaml.node().IsMap())
            yaml.fail("a deployment must be a map");
        const YamlReader ports = yaml.at("ports");
        m_result.platformAddress = readAddress(yaml.at("platform"), ports, "platform");
        readRouters(yaml.at("vms"), ports);
        readEndpoints(yaml.at("engines"), ports, true);
        readEndpoints(yaml.at("services"), ports, false);
        readBearerKeys(yaml.at("bearer_keys"));
    }

    std::string readAddress(const YamlReader &host, const YamlReader &ports, const char *port)
    {
        return joined(readIp(host.at("ip"), m_options.net), ":",
                      ports.at(port).integer(1, maxPort));
    }

    void readRouters(const YamlReader &list, const YamlReader &ports)
    {
        list.expectList();
        for (std::size_t i = 0; i < list.size(); ++i) {
            const YamlReader yaml = list.item(i);
            m_result.routers.push_back({
                .vm = Base::VmId(yaml.at("name").text()),
                .dataCentre = Base::DataCentreId(yaml.at("data_centre").text()),
                .address = readAddress(yaml, ports, "router"),
                .adminAddress = readAddress(yaml, ports, "router_admin"),
            });
        }
        if (m_result.routers.empty())
            list.fail("at least one VM is needed");
    }

    void readEndpoints(const YamlReader &list, const YamlReader &ports, bool isEngine)
    {
        list.expectList();
        for (std::size_t i = 0; i < list.size(); ++i) {
            const YamlReader yaml = list.item(i);
            m_result.endpoints.push_back({
                .endpoint = Base::EndpointId(yaml.at("name").text()),
                .dataCentre = Base::DataCentreId(yaml.at("data_centre").text()),
                .address = readAddress(yaml, ports, isEngine ? "engine" : "service"),
                .isEngine = isEngine,
            });
        }
    }

    void readBearerKeys(const YamlReader &yaml)
    {
        if (!yaml.node().IsMap())
            yaml.fail("'bearer_keys' must be a map from workspace to key");
        for (const auto &entry : yaml.node())
            m_bearerKeys[entry.first.as<std::string>()] = entry.second.as<std::string>();
    }

    void readWorkspaces(const YamlReader &list)
    {
        list.expectList();
        for (std::size_t i = 0; i < list.size(); ++i)
            m_result.workspaces.push_back(readWorkspace(list.item(i)));
        if (m_result.workspaces.empty())
            list.fail("at least one workspace is needed");
    }

    WorkspaceLoad readWorkspace(const YamlReader &yaml)
    {
        yaml.expectMap({"name", "rate", "callers", "surges", "calls"});
        WorkspaceLoad load;
        const std::string name = yaml.at("name").text();
        const auto bearerKey = m_bearerKeys.find(name);
        if (bearerKey == m_bearerKeys.end())
            yaml.at("name").fail(joined("workspace '", name, "' is not in the deployment"));
        load.workspace = Base::WorkspaceId(name);
        load.bearerKey = bearerKey->second;
        load.callsPerSecond = yaml.at("rate").number(0, maxRate);
        load.callers = static_cast<int>(yaml.number("callers", 1, 1, maxRate));
        if (yaml.has("surges"))
            readSurges(yaml.at("surges"), load);
        const YamlReader calls = yaml.at("calls");
        calls.expectList();
        for (std::size_t i = 0; i < calls.size(); ++i)
            load.kinds.push_back(readKind(calls.item(i)));
        if (load.kinds.empty())
            calls.fail("at least one kind of call is needed");
        return load;
    }

    static void readSurges(const YamlReader &list, WorkspaceLoad &load)
    {
        list.expectList();
        for (std::size_t i = 0; i < list.size(); ++i) {
            const YamlReader yaml = list.item(i);
            yaml.expectMap({"from", "to", "times"});
            load.surges.push_back({readSeconds(yaml.at("from")), readSeconds(yaml.at("to")),
                                   yaml.at("times").number(1, 1000)});
            if (load.surges.back().from >= load.surges.back().to)
                yaml.fail("a surge's 'from' must be before its 'to'");
        }
    }

    static CallKind readKind(const YamlReader &yaml)
    {
        CallKind kind;
        if (yaml.has("model"))
            kind.call = readChat(yaml);
        else if (yaml.has("service"))
            kind.call = readService(yaml);
        else
            yaml.fail("a call needs 'model' or 'service'");
        kind.name = yaml.at("name").text();
        kind.weight = yaml.number("weight", 1, 0.000001, maxRate);
        return kind;
    }

    static ChatCall readChat(const YamlReader &yaml)
    {
        yaml.expectMap({"name", "weight", "model", "stream", "priority", "system_tokens", "prompt",
                        "answer", "pause", "turns"});
        ChatCall chat;
        chat.model = Base::ModelId(yaml.at("model").text());
        chat.stream = yaml.flag("stream", true);
        chat.priority = yaml.text("priority", "");
        chat.systemTokens = static_cast<int>(yaml.number("system_tokens", 0, 0, maxTokens));
        chat.promptTokens = readDistribution(yaml.at("prompt"), maxTokens);
        chat.answerTokens = readDistribution(yaml.at("answer"), maxTokens);
        chat.pauseSeconds = readDistribution(yaml, "pause", 1, maxSeconds);
        chat.turns = readDistribution(yaml, "turns", 1, maxTokens);
        return chat;
    }

    static ServiceCall readService(const YamlReader &yaml)
    {
        yaml.expectMap({"name", "weight", "service", "method", "path", "idempotent", "with_key",
                        "duplicates", "duplicate_after", "body_bytes", "direct"});
        ServiceCall service;
        service.service = Base::ServiceId(yaml.at("service").text());
        service.method = yaml.text("method", "POST");
        service.path = yaml.text("path", "");
        service.idempotent = yaml.flag("idempotent", true);
        service.withKey = yaml.flag("with_key", false);
        service.direct = yaml.flag("direct", false);
        service.duplicateShare = yaml.number("duplicates", 0, 0, 1);
        service.duplicateSeconds = readDistribution(yaml, "duplicate_after", 0, maxSeconds);
        service.bodyBytes = static_cast<int>(yaml.number("body_bytes", 64, 0, maxTokens));
        if (service.duplicateShare > 0 && !service.withKey && !service.idempotent)
            yaml.at("duplicates")
                .fail("duplicates of a call that must not be repeated need "
                      "'with_key: true'");
        return service;
    }

    void readEvents(const YamlReader &list)
    {
        list.expectList();
        for (std::size_t i = 0; i < list.size(); ++i)
            m_result.events.push_back(readEvent(list.item(i)));
        std::stable_sort(m_result.events.begin(), m_result.events.end(),
                         [](const Event &a, const Event &b) { return a.timeInRun < b.timeInRun; });
    }

    Event readEvent(const YamlReader &yaml)
    {
        static const std::map<std::string, EventKind> kinds{
            {"fault", EventKind::Fault},        {"platform_fault", EventKind::PlatformFault},
            {"drain", EventKind::Drain},        {"undrain", EventKind::Undrain},
            {"vm_change", EventKind::VmChange}, {"mark", EventKind::Mark},
        };
        yaml.expectMap({"at", "kind", "endpoint", "body", "text"});
        const auto kind = kinds.find(yaml.at("kind").text());
        if (kind == kinds.end())
            yaml.at("kind").fail("'kind' must be fault, platform_fault, drain, undrain, vm_change "
                                 "or mark");
        Event event;
        event.timeInRun = readSeconds(yaml.at("at"));
        event.kind = kind->second;
        const bool needsEndpoint = event.kind == EventKind::Fault || event.kind == EventKind::Drain
            || event.kind == EventKind::Undrain;
        if (needsEndpoint)
            event.target = readTarget(yaml.at("endpoint"));
        if (event.kind == EventKind::Mark)
            event.body = yaml.at("text").text();
        else if (event.kind != EventKind::Drain && event.kind != EventKind::Undrain)
            event.body = yaml.at("body").text();
        return event;
    }

    std::string readTarget(const YamlReader &yaml) const
    {
        std::string id = yaml.text();
        const bool isKnown = std::any_of(
            m_result.endpoints.begin(), m_result.endpoints.end(),
            [&](const DeployedEndpoint &endpoint) { return endpoint.endpoint.value() == id; });
        if (!isKnown)
            yaml.fail(joined("endpoint '", id, "' is not in the deployment"));
        return id;
    }

    const ReadOptions &m_options;
    Definition m_result;
    std::map<std::string, std::string> m_bearerKeys;
};

} // namespace

Errors::Result<Definition> readDefinition(const ReadOptions &options)
{
    try {
        return DefinitionReader(options).read();
    } catch (const FileError &error) {
        return Errors::makeError(Errors::ErrorKind::BadSettings, error.what());
    }
}

} // namespace Lagoonbank::Experiment
