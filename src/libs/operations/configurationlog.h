#pragma once

#include "configuration/reducer.h"
#include "operations/streamreader.h"

namespace Lagoonbank::Operations {

/// The configuration as the log gives it.
class ConfigurationLog
{
public:
    using ReadFinished = std::function<void(Errors::Result<void> result)>;

    explicit ConfigurationLog(const Context &context);

    /// Reads all that is new. Fails where the log does not answer, and where it has lost records
    /// and holds no snapshot that makes them good.
    void read(ReadFinished done);

    const Configuration::Reducer &reducer() const { return m_reducer; }
    const Configuration::ObjectTable &objects() const { return m_reducer.objects(); }
    /// Null for an object that never was; a removed one has its last revision.
    const Schema::ObjectState *entry(const Configuration::ObjectKey &key) const;
    /// First record that the log still has.
    Base::LogOffset first() const { return m_stream.first(); }
    Base::LogOffset next() const { return m_stream.next(); }

private:
    Errors::Result<void> checkComplete() const;

    Configuration::Reducer m_reducer;
    StreamReader m_stream;
};

} // namespace Lagoonbank::Operations
