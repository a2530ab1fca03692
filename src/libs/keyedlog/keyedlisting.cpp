#include "keyedlog/keyedlisting.h"

#include <utility>

namespace Lagoonbank::KeyedLog {

KeyedListing::KeyedListing(Options options)
    : m_options(std::move(options))
    , m_backoff(m_options.backoff)
{ }

KeyedListing::~KeyedListing()
{
    m_options.timers->cancel(m_timer);
}

void KeyedListing::start(const std::string &prefix)
{
    m_options.timers->cancel(m_timer);
    m_isCurrent = std::make_shared<bool>(true); // Answers to earlier calls are ignored.
    m_prefix = prefix;
    m_lastKey = prefix;
    m_end.reset();
    m_isFailing = false;
    read();
}

void KeyedListing::read()
{
    m_options.source.readNewest(m_lastKey,
                                [this, isCurrent = std::weak_ptr<bool>(m_isCurrent)](
                                    const Errors::Result<NewestPage> &page) {
                                    if (!isCurrent.expired())
                                        pageRead(page);
                                });
}

void KeyedListing::pageRead(const Errors::Result<NewestPage> &page)
{
    m_isFailing = !page;
    if (!page) {
        m_timer = m_options.timers->start(m_backoff.next(), [this] { read(); });
        return;
    }
    m_backoff.reset();
    if (!m_end)
        m_end = page.value().end;
    std::optional<std::string> next = page.value().nextAfter();
    for (const KeyedRecord &record : page.value().records) {
        if (!record.key.starts_with(m_prefix)) {
            next.reset();
            break;
        }
        if (listed)
            listed(record);
    }
    if (next && next->starts_with(m_prefix)) {
        m_lastKey = *next;
        read();
    } else if (completed) {
        completed(*m_end);
    }
}

} // namespace Lagoonbank::KeyedLog
