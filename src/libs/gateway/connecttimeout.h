#pragma once

#include "base/units.h"

#include <chrono>
#include <optional>

namespace Lagoonbank::Gateway {

/// Timeout of connections to endpoints. It is longer for a while after a connection took longer to
/// an endpoint that was reachable: the router's own link or processor is overloaded then, and
/// requests would fail at one endpoint after the other.
///
/// The class reads no clock; time is an argument.
class ConnectTimeout
{
public:
    struct Options
    {
        Base::Duration usual = std::chrono::milliseconds(120);
        /// While the router is overloaded. It leaves most requests time to be answered.
        Base::Duration whenSlow = std::chrono::milliseconds(500);
        /// Time for which the router counts as overloaded after the last slow connection.
        Base::Duration memory = std::chrono::seconds(2);
    };

    explicit ConnectTimeout(const Options &options)
        : m_options(options)
    { }

    void wasTooShort(Base::MonoTime now) { m_tooShortAt = now; }
    Base::Duration value(Base::MonoTime now) const
    {
        const bool isSlow = m_tooShortAt && now - *m_tooShortAt < m_options.memory;
        return isSlow ? m_options.whenSlow : m_options.usual;
    }

private:
    Options m_options;
    std::optional<Base::MonoTime> m_tooShortAt;
};

} // namespace Lagoonbank::Gateway
