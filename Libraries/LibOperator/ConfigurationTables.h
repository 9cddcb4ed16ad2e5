#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/Roster.h>
#include <LibOperator/Table.h>

namespace Sapphire {

// Each returns a table of the objects, of one only if a name is given.

Table vmTable(const std::vector<RosterVm> &vms, const std::string &name);
Table customerTable(const Configuration &configuration, const std::string &name);
/// Never contains a key's hash.
Table keyTable(const Configuration &configuration, const std::string &name);
Table serviceTable(const Configuration &configuration, const std::string &name);
Table targetTable(const Configuration &configuration, const std::string &name);
Table regionTable(const Configuration &configuration, const std::string &name);
Table blockTable(const Configuration &configuration, const std::string &name);

} // namespace Sapphire
