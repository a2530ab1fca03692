#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lagoonbank::Membership::Internal {

/// Names of the updates to be gossiped, with the number of times that each was sent. The least
/// often sent update goes first, and each is sent a limited number of times.
class GossipQueue
{
public:
    void add(const std::string &name) { m_sends[name] = 0; }
    void remove(const std::string &name) { m_sends.erase(name); }
    bool isEmpty() const { return m_sends.empty(); }
    std::size_t count() const { return m_sends.size(); }

    /// Names in the order in which they are to be sent.
    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        result.reserve(m_sends.size());
        for (const auto &[name, sends] : m_sends)
            result.push_back(name);
        std::stable_sort(result.begin(), result.end(),
                         [this](const std::string &a, const std::string &b) {
                             return m_sends.at(a) < m_sends.at(b);
                         });
        return result;
    }
    /// Counts \a name as sent once more, and removes it once it was sent \a limit times.
    void markSent(const std::string &name, std::uint32_t limit)
    {
        const auto found = m_sends.find(name);
        if (found != m_sends.end() && ++found->second >= limit)
            m_sends.erase(found);
    }

private:
    std::map<std::string, std::uint32_t> m_sends;
};

} // namespace Lagoonbank::Membership::Internal
