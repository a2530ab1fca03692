#include "membership/demanddigests.h"

#include "membership/peercodec.h"

#include <algorithm>

namespace Lagoonbank::Membership {

DemandDigests::DemandDigests()
    : DemandDigests(Options())
{ }

DemandDigests::DemandDigests(const Options &options)
    : m_options(options)
{ }

void DemandDigests::set(std::uint32_t origin, const Base::WorkspaceId &workspace, std::string bytes,
                        Base::MonoTime now)
{
    Entry entry{.digest = {.origin = origin,
                           .version = ++m_version,
                           .workspace = workspace.value(),
                           .bytes = std::move(bytes)},
                .writtenAt = now};
    m_entries.insert_or_assign({origin, workspace.value()}, std::move(entry));
}

bool DemandDigests::receive(const DemandDigest &digest, Base::MonoTime now)
{
    const Base::MonoTime writtenAt = now - std::chrono::milliseconds(digest.ageMs);
    if (now - writtenAt > m_options.maxAge)
        return false;
    const Key key{digest.origin, digest.workspace};
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_options.maxEntries)
            return false;
        m_entries.emplace(key, Entry{.digest = digest, .writtenAt = writtenAt});
        return true;
    }
    // Versions begin at one again when a router restarts, which a much later time indicates.
    const bool isRestart = writtenAt - found->second.writtenAt > m_options.maxAge / 2;
    if (digest.version <= found->second.digest.version && !isRestart)
        return false;
    found->second = {.digest = digest, .writtenAt = writtenAt};
    return true;
}

std::vector<DemandDigest> DemandDigests::take(std::size_t bytes, Base::MonoTime now)
{
    std::vector<Entry *> due;
    for (auto &[key, entry] : m_entries) {
        if (entry.sends < m_options.sends)
            due.push_back(&entry);
    }
    std::stable_sort(due.begin(), due.end(),
                     [](const Entry *a, const Entry *b) { return a->sends < b->sends; });
    std::vector<DemandDigest> digests;
    for (Entry *entry : due) {
        const std::size_t size = encodedSize(entry->digest);
        if (size > bytes)
            break;
        bytes -= size;
        ++entry->sends;
        const auto age =
            std::clamp<std::int64_t>(Base::toMilliseconds(now - entry->writtenAt), 0, UINT32_MAX);
        digests.push_back(entry->digest);
        digests.back().ageMs = static_cast<std::uint32_t>(age);
    }
    return digests;
}

bool DemandDigests::hasDue() const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [this](const auto &item) { return item.second.sends < m_options.sends; });
}

void DemandDigests::expire(Base::MonoTime now)
{
    std::erase_if(m_entries,
                  [&](const auto &item) { return now - item.second.writtenAt > m_options.maxAge; });
}

} // namespace Lagoonbank::Membership
