#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

/// Arrays that stand for a fleet, to compare routing policies on a virtual clock.
namespace Lagoonbank::PolicyModel {

/// One request on its way through the model.
struct Job
{
    std::uint64_t id = 0;
    std::uint32_t chat = 0;
    std::uint32_t router = 0;
    std::uint8_t priority = 1;
    std::int64_t prompt = 0;
    std::int64_t output = 0;
    std::int64_t known = 0; ///< Tokens of the prompt that were the chat's before; may be cached.
    double arrivedAt = 0.0;
    std::uint32_t tries = 0;
};

/// A batching engine with a prefix cache: output tokens at a steady pace while the step allows,
/// prefill in order of arrival with the rest, and the least lately used prefixes evicted.
class EngineModel
{
public:
    struct Options
    {
        double speed = 20000.0; ///< Work a second.
        double outputWeight = 8.0; ///< Work of one output token.
        double tokenTime = 0.034; ///< Shortest time between two output tokens, s.
        double decodeShare = 0.7; ///< Most that output takes while a prefill waits.
        std::int64_t cacheTokens = 1000000;
    };

    explicit EngineModel(const Options &options)
        : m_options(options)
    { }

    std::function<void(const Job &)> firstToken;
    std::function<void(const Job &)> finished;

    /// Returns the tokens found in the cache.
    std::int64_t add(const Job &job);
    void advance(double seconds);
    /// Loses all work and the cache; returns the work's jobs.
    std::vector<Job> crash();

    double work() const;
    double largestJob() const; ///< Whole work of the largest job held.
    /// Calls back with each job past its prefill and the output tokens it has given.
    void forEachDecoding(const std::function<void(const Job &, double)> &visit) const;
    std::size_t jobs() const { return m_running.size(); }
    bool holds(std::uint32_t chat) const { return m_cached.contains(chat); }

private:
    struct Running
    {
        Job job;
        double prefill = 0.0; ///< Tokens left.
        double output = 0.0; ///< Tokens left.
        double whole = 0.0;
    };
    struct Cached
    {
        std::int64_t tokens = 0;
        std::list<std::uint32_t>::iterator place;
    };

    void store(std::uint32_t chat, std::int64_t tokens);
    double decode(double budget, double seconds);
    void prefill(double budget);
    void endFinished();

    Options m_options;
    std::vector<Running> m_running;
    std::list<std::uint32_t> m_order; ///< Chats, lately used first.
    std::unordered_map<std::uint32_t, Cached> m_cached;
    std::int64_t m_tokens = 0;
};

} // namespace Lagoonbank::PolicyModel
