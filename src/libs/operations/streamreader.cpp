#include "operations/streamreader.h"

#include <utility>

namespace Lagoonbank::Operations {

namespace {

constexpr std::size_t pageRecords = 1000;

} // namespace

StreamReader::StreamReader(const Context &context, std::string stream)
    : m_context(context)
    , m_stream(std::move(stream))
    , m_retryPolicy(context)
{ }

StreamReader::~StreamReader()
{
    if (m_context.log)
        m_context.log->cancel(m_read);
    m_context.timers->cancel(m_timer);
}

void StreamReader::readToEnd(Finished finished)
{
    m_finished = std::move(finished);
    m_retryPolicy.restart();
    readPage();
}

void StreamReader::readPage()
{
    m_read = m_context.log->read(
        {.stream = m_stream, .from = m_next, .limit = pageRecords},
        [this](const Errors::Result<PlatformClient::ReadPage> &page) { pageRead(page); });
}

void StreamReader::pageRead(const Errors::Result<PlatformClient::ReadPage> &page)
{
    if (!page)
        return retryOrFail(page.error());
    const PlatformClient::ReadPage &read = page.value();
    if (read.first > m_next) {
        m_firstRetained = read.first;
        m_next = read.first;
        if (m_gapFound)
            m_gapFound(read.first);
    }
    for (const PlatformClient::StoredRecord &record : read.records) {
        if (m_recordRead)
            m_recordRead(record);
    }
    if (read.records.empty() || read.next <= m_next)
        return finish(boost::outcome_v2::success());
    m_next = read.next;
    m_retryPolicy.restart();
    readPage();
}

void StreamReader::retryOrFail(const Errors::Error &error)
{
    const std::optional<Base::Duration> delay = m_retryPolicy.nextDelay();
    if (!delay)
        return finish(error);
    m_timer = m_context.timers->start(*delay, [this] { readPage(); });
}

void StreamReader::finish(Errors::Result<void> result)
{
    const Finished finished = std::exchange(m_finished, nullptr);
    finished(std::move(result));
}

} // namespace Lagoonbank::Operations
