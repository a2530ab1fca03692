#include "keyedlog/keyedview.h"

#include "base/logoffset.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Lagoonbank::KeyedLog {

std::string_view toString(ListingCause cause)
{
    switch (cause) {
    case ListingCause::Started:
        return "started";
    case ListingCause::RecordsMissing:
        return "records_missing";
    case ListingCause::AnswerOverdue:
        return "answer_overdue";
    case ListingCause::LogRestored:
        break;
    }
    return "log_restored";
}

KeyedView::KeyedView(Options options)
    : m_options(std::move(options))
    , m_backoff(m_options.backoff)
{ }

KeyedView::~KeyedView()
{
    stop();
}

void KeyedView::start()
{
    m_isRunning = true;
    // The log may have been unavailable while this view was stopped.
    m_hasReportedHealth = false;
    startListing(ListingCause::Started);
}

void KeyedView::startAfter(Base::LogOffset known, const Keys &keys)
{
    m_isRunning = true;
    for (const std::string &key : keys)
        m_offsets.try_emplace(key, known);
    m_hasReportedHealth = false;
    m_isListing = false;
    m_isFilled = true;
    m_position = std::max(m_position, known + Base::LogOffset(1));
    follow();
}

void KeyedView::stop()
{
    m_isRunning = false;
    m_options.timers->cancel(m_timer);
    if (m_read)
        m_options.source.cancel(*std::exchange(m_read, std::nullopt));
}

void KeyedView::restart()
{
    if (!m_isRunning)
        return;
    stop();
    m_isRunning = true;
    if (m_isListing)
        readListing();
    else
        follow();
}

void KeyedView::setEra(Base::LogEra era)
{
    if (!m_isListing && Base::eraOf(m_position) < era)
        restart();
}

std::optional<Base::Duration> KeyedView::age() const
{
    if (!m_answeredAt)
        return std::nullopt;
    return m_options.timers->clock().now() - *m_answeredAt;
}

void KeyedView::startListing(ListingCause cause)
{
    if (listingStarted)
        listingStarted(cause);
    readListing();
}

void KeyedView::readListing()
{
    m_isListing = true;
    m_lastListedKey.clear();
    m_listingEnd.reset();
    m_listedKeys.clear();
    m_read = m_options.source.readNewest(
        m_lastListedKey, [this](const Errors::Result<NewestPage> &page) { pageRead(page); });
}

void KeyedView::pageRead(const Errors::Result<NewestPage> &page)
{
    m_read.reset();
    if (!page) {
        readFailed(&KeyedView::readListing);
        return;
    }
    const Base::LogEra era = Base::eraOf(page.value().end);
    if (era < Base::eraOf(m_listingEnd.value_or(m_position))) {
        schedule(m_backoff.next(), &KeyedView::readListing); // A late answer of an earlier era.
        return;
    }
    readSucceeded();
    if (m_listingEnd && era > Base::eraOf(*m_listingEnd)) {
        startListing(ListingCause::LogRestored);
        return;
    }
    if (!m_listingEnd)
        m_listingEnd = page.value().end;
    for (const KeyedRecord &record : page.value().records) {
        m_listedKeys.insert(record.key);
        apply(record);
    }
    if (!m_isRunning)
        return;
    const std::optional<std::string> after = page.value().nextAfter();
    if (!after) {
        listingEnded();
        return;
    }
    m_lastListedKey = *after;
    m_read = m_options.source.readNewest(
        m_lastListedKey, [this](const Errors::Result<NewestPage> &next) { pageRead(next); });
}

/// A key that is missing from the listing has been dropped, unless its record is newer than the
/// listing.
void KeyedView::listingEnded()
{
    std::vector<std::string> dropped;
    for (const auto &[key, offset] : m_offsets) {
        if (!m_listedKeys.contains(key) && offset < *m_listingEnd)
            dropped.push_back(key);
    }
    for (const std::string &key : dropped) {
        m_offsets.erase(key);
        // The offset is the last one of the listing, as the record at the end may be the key's
        // next.
        if (keyDropped)
            keyDropped(key, *m_listingEnd - Base::LogOffset(1));
    }
    m_isListing = false;
    m_isFilled = true;
    // Records appended during the listing are read again, which has no effect.
    m_position = std::max(m_position, *m_listingEnd);
    const Keys keys = std::exchange(m_listedKeys, {});
    if (listingCompleted)
        listingCompleted(keys, *m_listingEnd);
    if (caughtUp)
        caughtUp();
    if (m_isRunning)
        schedule(m_options.interval, &KeyedView::follow);
}

void KeyedView::follow()
{
    m_read =
        m_options.source.readTail(m_position, m_options.wait,
                                  [this](const Errors::Result<TailPage> &page) { tailRead(page); });
}

void KeyedView::tailRead(const Errors::Result<TailPage> &page)
{
    m_read.reset();
    if (!page) {
        readFailed(&KeyedView::follow);
        return;
    }
    if (Base::eraOf(page.value().end) < Base::eraOf(m_position)) {
        schedule(m_backoff.next(), &KeyedView::follow); // A late answer of an earlier era.
        return;
    }
    const std::optional<ListingCause> cause = causeToList(page.value());
    readSucceeded();
    if (cause) {
        startListing(*cause);
        return;
    }
    const Base::LogOffset before = m_position;
    m_position = page.value().nextPosition(before);
    applyTail(page.value().records);
    const bool isBehind = m_position > before && m_position < page.value().end;
    if (!isBehind && caughtUp)
        caughtUp();
    if (!m_isRunning)
        return;
    schedule(isBehind ? Base::Duration::zero() : m_options.interval, &KeyedView::follow);
}

/// Returns why the page does not continue what is known, if that is so.
std::optional<ListingCause> KeyedView::causeToList(const TailPage &page) const
{
    if (Base::eraOf(page.end) > Base::eraOf(m_position))
        return ListingCause::LogRestored;
    if (page.isOutOfRange)
        return ListingCause::RecordsMissing;
    // The records of a gap include values that are outdated by now; a listing has only the newest.
    if (isAnswerOverdue())
        return ListingCause::AnswerOverdue;
    return std::nullopt;
}

void KeyedView::applyTail(const std::vector<KeyedRecord> &records)
{
    absl::flat_hash_map<std::string_view, Base::LogOffset> newest;
    for (const KeyedRecord &record : records)
        newest[record.key] = record.offset;
    for (const KeyedRecord &record : records) {
        if (!m_options.reportsNewestOnly || newest[record.key] == record.offset)
            apply(record);
    }
}

void KeyedView::apply(const KeyedRecord &record)
{
    const auto known = m_offsets.find(record.key);
    if (known != m_offsets.end() && known->second >= record.offset) {
        if (known->second > record.offset && outdatedRecordIgnored)
            outdatedRecordIgnored(record, known->second);
        return;
    }
    if (record.value) {
        m_offsets[record.key] = record.offset;
        if (valueChanged)
            valueChanged(record);
        return;
    }
    if (known == m_offsets.end())
        return;
    m_offsets.erase(known);
    if (keyDropped)
        keyDropped(record.key, record.offset);
}

bool KeyedView::isAnswerOverdue() const
{
    return age().value_or(Base::Duration::zero()) > m_options.maxAnswerGap;
}

void KeyedView::readSucceeded()
{
    m_backoff.reset();
    const bool isOverdue = isAnswerOverdue();
    m_answeredAt = m_options.timers->clock().now();
    const bool hasChanged = !m_hasReportedHealth || !m_isLogAvailable || isOverdue;
    m_hasReportedHealth = true;
    m_isLogAvailable = true;
    if (hasChanged && healthChanged)
        healthChanged(true);
}

void KeyedView::readFailed(void (KeyedView::*retry)())
{
    const bool hasChanged = !m_hasReportedHealth || m_isLogAvailable;
    m_hasReportedHealth = true;
    m_isLogAvailable = false;
    schedule(m_backoff.next(), retry);
    if (hasChanged && healthChanged)
        healthChanged(false);
}

void KeyedView::schedule(Base::Duration delay, void (KeyedView::*step)())
{
    m_options.timers->cancel(m_timer);
    m_timer = m_options.timers->start(delay, [this, step] { (this->*step)(); });
}

} // namespace Lagoonbank::KeyedLog
