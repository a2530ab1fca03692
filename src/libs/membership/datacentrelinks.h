#pragma once

#include "base/units.h"
#include "membership/peermessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Lagoonbank::Membership {

/// Tracks which other data centres are reachable: a data centre is reachable if any process of the
/// own data centre received an answer from it within the timeout. A partition between data centres
/// thus makes a whole data centre unreachable; members of other data centres neither suspect its
/// members nor, as long as the VM list contains them, declare them dead.
class DataCentreLinks
{
public:
    explicit DataCentreLinks(Base::Duration timeout)
        : m_timeout(timeout)
    { }

    /// Records that a member of \a dataCentre answered this process.
    void recordContact(const std::string &dataCentre, Base::MonoTime now);
    /// Merges a contact reported by another process of the own data centre. Contacts of data
    /// centres that were not added are ignored.
    void receive(const DataCentreContact &contact, Base::MonoTime now);
    /// Adds a newly discovered data centre, which counts as reachable for one timeout.
    void addDataCentre(const std::string &dataCentre, Base::MonoTime now);

    bool isReachable(const std::string &dataCentre, Base::MonoTime now) const;
    /// Time of the last contact; MonoTime::min() if there was none.
    Base::MonoTime lastContact(const std::string &dataCentre) const;
    /// Contacts within the timeout, to be sent to the own data centre.
    std::vector<DataCentreContact> contacts(Base::MonoTime now) const;
    /// Moves all contacts forward by \a pause, during which this process did not run and so could
    /// not receive answers.
    void shift(Base::Duration pause);

private:
    Base::Duration m_timeout;
    std::map<std::uint32_t, Base::MonoTime> m_contacts; ///< By nameKey().
};

} // namespace Lagoonbank::Membership
