#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/Roster.h>
#include <LibOperator/Table.h>

#include <functional>

namespace Sapphire {

// Each function returns a table of all objects; if the name is not empty, only of the object with this name. A key is
// also found by its customer, a target by its service.

Table vmTable(const std::vector<RosterVm> &vms, const std::string &name);
Table customerTable(const Configuration &configuration, const std::string &name);
/// Does not contain the hashes of keys. `isWithdrawn` tells of withdrawals that are not in the configuration yet.
Table keyTable(const Configuration &configuration, const std::string &name,
               const std::function<bool(const KeyId &)> &isWithdrawn);
Table serviceTable(const Configuration &configuration, const std::string &name);
Table targetTable(const Configuration &configuration, const std::string &name);
Table regionTable(const Configuration &configuration, const std::string &name);
Table blockTable(const Configuration &configuration, const std::string &name);

} // namespace Sapphire
