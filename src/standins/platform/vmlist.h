#pragma once

#include "base/units.h"

#include <deque>
#include <string>
#include <utility>

namespace Lagoonbank::Standins::Platform {

/// VM list as readers see it: the first list is visible at once, each later one after a lag.
class VmList
{
public:
    explicit VmList(Base::Duration lag)
        : m_lag(lag)
    { }

    /// Sets the list to a JSON document that is returned unchanged.
    void set(std::string json, Base::MonoTime now);
    const std::string &visibleList(Base::MonoTime now);

private:
    Base::Duration m_lag;
    std::string m_visibleList = R"({"vms":[]})";
    /// Lists that are not visible yet, each with the time from which it is.
    std::deque<std::pair<Base::MonoTime, std::string>> m_pending;
    bool m_hasList = false;
};

} // namespace Lagoonbank::Standins::Platform
