#pragma once

#include "configuration/reducer.h"
#include "operations/streamreader.h"

namespace Lagoonbank::Operations {

/// Reads the configuration from the log.
class ConfigurationLog
{
public:
    using ReadFinished = std::function<void(Errors::Result<void> result)>;

    explicit ConfigurationLog(const Context &context);

    /// Reads all new records. Fails if the log does not answer, or if retention removed unread
    /// records and the log holds no snapshot that replaces them.
    void read(ReadFinished done);

    const Configuration::Reducer &reducer() const { return m_reducer; }
    const Configuration::ObjectTable &objects() const { return m_reducer.objects(); }
    /// Returns null for an object that never existed. The entry of a removed object has its last
    /// revision.
    const Schema::ObjectState *entry(const Configuration::ObjectKey &key) const;
    /// Offset of the first record that is still in the log.
    Base::LogOffset first() const { return m_stream.first(); }
    Base::LogOffset next() const { return m_stream.next(); }

private:
    Errors::Result<void> checkComplete() const;

    Configuration::Reducer m_reducer;
    StreamReader m_stream;
};

} // namespace Lagoonbank::Operations
