#pragma once

#include "base/units.h"

#include <deque>
#include <string>
#include <utility>

namespace Lagoonbank::Standins::Platform {

/// The VM list as readers see it: each change shows only after a lag, the first list at once.
class VmList
{
public:
    explicit VmList(Base::Duration lag)
        : m_lag(lag)
    { }

    /// Sets the list, a JSON document that is given back as it is.
    void set(std::string json, Base::MonoTime now);
    const std::string &shown(Base::MonoTime now);

private:
    Base::Duration m_lag;
    std::string m_shown = R"({"vms":[]})";
    std::deque<std::pair<Base::MonoTime, std::string>> m_waiting; ///< By the time of showing.
    bool m_hasList = false;
};

} // namespace Lagoonbank::Standins::Platform
