#include "keyedlog/pendingwrites.h"

#include <utility>

namespace Lagoonbank::KeyedLog {

PendingWrites::PendingWrites(Options options)
    : m_options(std::move(options))
    , m_backoff(m_options.backoff)
{ }

PendingWrites::~PendingWrites()
{
    m_options.timers->cancel(m_timer);
}

void PendingWrites::write(const std::string &key, const std::string &value)
{
    m_values[key] = value;
    writeNext();
}

void PendingWrites::writeNext()
{
    if (m_isWriting || m_values.empty())
        return;
    m_isWriting = true;
    const auto next = m_values.upper_bound(m_latestKey);
    const auto &[key, value] = next == m_values.end() ? *m_values.begin() : *next;
    m_latestKey = key;
    m_options.write(key, value,
                    [this, key = key, value = value,
                     isAlive = std::weak_ptr<bool>(m_isAlive)](const Errors::Result<void> &result) {
                        if (!isAlive.expired())
                            written(key, value, result);
                    });
}

void PendingWrites::written(const std::string &key, const std::string &value,
                            const Errors::Result<void> &result)
{
    if (!result) {
        m_timer = m_options.timers->start(m_backoff.next(), [this] {
            m_isWriting = false;
            writeNext();
        });
        return;
    }
    m_isWriting = false;
    m_backoff.reset();
    // The key may have been given a newer value meanwhile.
    if (const auto entry = m_values.find(key); entry != m_values.end() && entry->second == value)
        m_values.erase(entry);
    writeNext();
}

} // namespace Lagoonbank::KeyedLog
