#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/Roster.h>
#include <LibOperator/Table.h>

#include <functional>

namespace Sapphire {

// Each returns a table of the objects, of one only if a name is given.

Table vmTable(const std::vector<RosterVm> &vms, const std::string &name);
Table customerTable(const Configuration &configuration, const std::string &name);
/// Never contains a key's hash. Withdrawals that are not in the configuration yet are asked for by `isWithdrawn`.
Table keyTable(const Configuration &configuration, const std::string &name,
               const std::function<bool(const KeyId &)> &isWithdrawn);
Table serviceTable(const Configuration &configuration, const std::string &name);
Table targetTable(const Configuration &configuration, const std::string &name);
Table regionTable(const Configuration &configuration, const std::string &name);
Table blockTable(const Configuration &configuration, const std::string &name);

} // namespace Sapphire
