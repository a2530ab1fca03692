#include "enginemodel.h"

#include <algorithm>

namespace Lagoonbank::PolicyModel {

std::int64_t EngineModel::add(const Job &job)
{
    std::int64_t hit = 0;
    if (const auto it = m_cached.find(job.chat); it != m_cached.end()) {
        hit = std::min(it->second.tokens, job.previousTokens);
        m_recentChats.splice(m_recentChats.begin(), m_recentChats, it->second.recentPosition);
    }
    const auto uncached = static_cast<double>(job.prompt - hit);
    const auto output = static_cast<double>(job.output);
    m_running.push_back({.job = job,
                         .prefill = uncached,
                         .output = output,
                         .totalWork = uncached + m_options.outputWeight * output});
    return hit;
}

void EngineModel::advance(double seconds)
{
    const double budget = m_options.workPerSecond * seconds;
    const double used = decode(budget, seconds);
    prefill(budget - used);
    endFinished();
}

double EngineModel::decode(double budget, double seconds)
{
    std::size_t decoding = 0;
    for (const Running &running : m_running)
        decoding += running.prefill <= 0.0 ? 1 : 0;
    if (decoding == 0)
        return 0.0;
    const bool waiting = decoding < m_running.size();
    const double maxWork = waiting ? budget * m_options.maxDecodeShare : budget;
    const double tokensEach =
        std::min(seconds / m_options.minTokenInterval,
                 maxWork / (static_cast<double>(decoding) * m_options.outputWeight));
    for (Running &running : m_running) {
        if (running.prefill <= 0.0)
            running.output -= tokensEach;
    }
    return tokensEach * static_cast<double>(decoding) * m_options.outputWeight;
}

void EngineModel::prefill(double budget)
{
    // The most urgent priority first, and each priority in the order of arrival.
    for (std::uint8_t priority = 0; priority < 3; ++priority) {
        for (Running &running : m_running) {
            if (budget <= 0.0)
                return;
            if (running.prefill <= 0.0 || running.job.priority != priority)
                continue;
            const double done = std::min(budget, running.prefill);
            running.prefill -= done;
            budget -= done;
            if (running.prefill > 0.0)
                continue;
            store(running.job.chat, running.job.prompt);
            firstToken(running.job);
        }
    }
}

void EngineModel::endFinished()
{
    for (std::size_t i = 0; i < m_running.size();) {
        if (m_running[i].prefill > 0.0 || m_running[i].output > 0.0) {
            ++i;
            continue;
        }
        const Job job = m_running[i].job;
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(i));
        store(job.chat, job.prompt + job.output);
        finished(job);
    }
}

std::vector<Job> EngineModel::crash()
{
    std::vector<Job> lost;
    for (const Running &running : m_running)
        lost.push_back(running.job);
    m_running.clear();
    m_recentChats.clear();
    m_cached.clear();
    m_cachedTokens = 0;
    return lost;
}

double EngineModel::work() const
{
    double work = 0.0;
    for (const Running &running : m_running)
        work += running.prefill + m_options.outputWeight * std::max(running.output, 0.0);
    return work;
}

double EngineModel::largestJob() const
{
    double largest = 0.0;
    for (const Running &running : m_running)
        largest = std::max(largest, running.totalWork);
    return largest;
}

void EngineModel::forEachDecoding(const std::function<void(const Job &, double)> &visit) const
{
    for (const Running &running : m_running) {
        if (running.prefill <= 0.0)
            visit(running.job, static_cast<double>(running.job.output) - running.output);
    }
}

void EngineModel::store(std::uint32_t chat, std::int64_t tokens)
{
    const auto it = m_cached.find(chat);
    if (it != m_cached.end()) {
        m_cachedTokens += tokens - it->second.tokens;
        it->second.tokens = tokens;
        m_recentChats.splice(m_recentChats.begin(), m_recentChats, it->second.recentPosition);
    } else {
        m_recentChats.push_front(chat);
        m_cached[chat] = {.tokens = tokens, .recentPosition = m_recentChats.begin()};
        m_cachedTokens += tokens;
    }
    while (m_cachedTokens > m_options.cacheTokens && m_recentChats.size() > 1) {
        const std::uint32_t oldest = m_recentChats.back();
        m_cachedTokens -= m_cached[oldest].tokens;
        m_cached.erase(oldest);
        m_recentChats.pop_back();
    }
}

} // namespace Lagoonbank::PolicyModel
