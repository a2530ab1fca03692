#pragma once

#include "configuration/objecttable.h"
#include "controller/ordercoordinator.h"
#include "controller/prober.h"

#include <functional>
#include <vector>

namespace Lagoonbank::Controller {

/// Endpoints of a data centre to probe for their load.
std::vector<Prober::Target> probeTargets(const Configuration::ObjectTable &objects,
                                         const Base::DataCentreId &dataCentre);

/// Engines of a data centre with their desired state. Endpoints of plain services accept no orders
/// and are left out.
std::vector<OrderTarget>
orderTargets(const Configuration::ObjectTable &objects, const Base::DataCentreId &dataCentre,
             const std::function<Base::Revision(const Configuration::ObjectKey &)> &revisionOf);

} // namespace Lagoonbank::Controller
