#pragma once

#include <LibCore/Result.h>
#include <LibCore/SettingsReader.h>
#include <LibPlatform/VmDirectory.h>

#include <string>
#include <vector>

namespace Sapphire {

/// Parses {"vms":[{"id","address","region","availabilityZone","callerPort","fleetPort","state":"live|leaving"}]}.
/// Members that it does not know are left alone. Fails with Unavailable if the text is something else.
[[nodiscard]] Result<std::vector<ListedVm>> parseVmList(const std::string &text);

/// Reads one element of the list; faults are left in the reader.
ListedVm readListedVm(SettingsReader &reader);

/// Writes one element of the list.
std::string listedVmText(const ListedVm &vm);

/// Writes the text that parseVmList() reads.
std::string vmListText(const std::vector<ListedVm> &vms);

} // namespace Sapphire
