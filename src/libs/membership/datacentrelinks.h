#pragma once

#include "base/units.h"
#include "membership/peermessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lagoonbank::Membership {

/// Which other data centres are within reach: some process of the own data centre had an answer
/// from there lately. So a cut between data centres marks a whole data centre, and no member of it
/// is declared dead from outside.
class DataCentreLinks
{
public:
    explicit DataCentreLinks(Base::Duration timeout)
        : m_timeout(timeout)
    { }

    /// A member there answered this process.
    void recordContact(const std::string &dataCentre, Base::MonoTime now);
    /// A process of the own data centre tells of its contact.
    void receive(const DataCentreContact &contact, Base::MonoTime now);
    /// A data centre just learnt of counts as reachable for one timeout.
    void addDataCentre(const std::string &dataCentre, Base::MonoTime now);

    bool isReachable(const std::string &dataCentre, Base::MonoTime now) const;
    /// Last contact; nullopt-like minimum if there was none.
    Base::MonoTime lastContact(const std::string &dataCentre) const;
    /// For datagrams within the own data centre.
    std::vector<DataCentreContact> contacts(Base::MonoTime now) const;
    /// After a pause of this process: silence during it says nothing.
    void shift(Base::Duration pause);

private:
    Base::Duration m_timeout;
    std::map<std::uint32_t, Base::MonoTime> m_contacts; ///< By nameKey().
};

} // namespace Lagoonbank::Membership
