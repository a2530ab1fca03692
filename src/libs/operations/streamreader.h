#pragma once

#include "errors/result.h"
#include "operations/command.h"

#include <functional>
#include <optional>
#include <string>

namespace Lagoonbank::Operations {

/// Reads a stream of the log to its end and retries failed reads.
class StreamReader
{
public:
    using RecordRead = std::function<void(const PlatformClient::StoredRecord &record)>;
    using Finished = std::function<void(Errors::Result<void> result)>;

    StreamReader(const Context &context, std::string stream);
    ~StreamReader();
    StreamReader(const StreamReader &) = delete;
    StreamReader &operator=(const StreamReader &) = delete;

    void setRecordRead(RecordRead hook) { m_recordRead = std::move(hook); }
    /// Sets a hook that is called if retention removed unread records before `first`.
    void setGapFound(std::function<void(Base::LogOffset first)> hook)
    {
        m_gapFound = std::move(hook);
    }

    /// Continues reading at next(). Must not be called again before `finished` has been called.
    void readToEnd(Finished finished);

    Base::LogOffset first() const { return m_firstRetained; }
    Base::LogOffset next() const { return m_next; }

private:
    void readPage();
    void pageRead(const Errors::Result<PlatformClient::ReadPage> &page);
    void retryOrFail(const Errors::Error &error);
    void finish(Errors::Result<void> result);

    const Context &m_context;
    std::string m_stream;
    RecordRead m_recordRead;
    std::function<void(Base::LogOffset)> m_gapFound;
    Finished m_finished;
    Base::LogOffset m_firstRetained;
    Base::LogOffset m_next;
    RetryPolicy m_retryPolicy;
    PlatformClient::LogClient::ReadId m_read;
    Runtime::TimerId m_timer;
};

} // namespace Lagoonbank::Operations
