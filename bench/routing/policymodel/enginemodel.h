#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

/// Simulation of a fleet on a virtual clock, to compare routing policies.
namespace Lagoonbank::PolicyModel {

/// One request of the simulation.
struct Job
{
    std::uint64_t id = 0;
    std::uint32_t chat = 0;
    std::uint32_t router = 0;
    std::uint8_t priority = 1;
    std::int64_t prompt = 0; ///< Prompt tokens.
    std::int64_t output = 0; ///< Output tokens.
    std::int64_t previousTokens = 0; ///< Prompt tokens of earlier turns, which may be cached.
    double arrivedAt = 0.0; ///< Simulated time in seconds.
    std::uint32_t attempts = 0;
};

/// A batching engine with a prefix cache. Output tokens are generated at a steady pace as far as
/// the engine's speed allows; the rest of its speed goes to prefill in the order of arrival. The
/// least recently used prefixes are evicted from the cache.
class EngineModel
{
public:
    struct Options
    {
        double workPerSecond = 20000.0;
        double outputWeight = 8.0; ///< Work units of one output token; a prompt token is 1.
        double minTokenInterval = 0.034; ///< Seconds between two output tokens of a job.
        double maxDecodeShare = 0.7; ///< Limit for output while a prefill waits.
        std::int64_t cacheTokens = 1000000;
    };

    explicit EngineModel(const Options &options)
        : m_options(options)
    { }

    std::function<void(const Job &)> firstToken;
    std::function<void(const Job &)> finished;

    /// Starts a job. Returns the number of prompt tokens found in the cache.
    std::int64_t add(const Job &job);
    void advance(double seconds);
    /// Drops all jobs and the cache. Returns the dropped jobs.
    std::vector<Job> crash();

    double work() const;
    double largestJob() const; ///< Work of the largest running job, including what is done.
    /// Calls \a visit with each job past its prefill and the number of its output tokens so far.
    void forEachDecoding(const std::function<void(const Job &, double)> &visit) const;
    std::size_t jobs() const { return m_running.size(); }
    bool hasCached(std::uint32_t chat) const { return m_cached.contains(chat); }

private:
    struct Running
    {
        Job job;
        double prefill = 0.0; ///< Remaining prompt tokens.
        double output = 0.0; ///< Remaining output tokens.
        double totalWork = 0.0; ///< Work units when the job was started.
    };
    struct Cached
    {
        std::int64_t tokens = 0;
        std::list<std::uint32_t>::iterator recentPosition;
    };

    void store(std::uint32_t chat, std::int64_t tokens);
    double decode(double budget, double seconds);
    void prefill(double budget);
    void endFinished();

    Options m_options;
    std::vector<Running> m_running;
    std::list<std::uint32_t> m_recentChats; ///< Most recently used first.
    std::unordered_map<std::uint32_t, Cached> m_cached;
    std::int64_t m_cachedTokens = 0;
};

} // namespace Lagoonbank::PolicyModel
