#pragma once

#include <LibCore/Result.h>
#include <LibCore/SettingsReader.h>
#include <LibPlatform/VmDirectory.h>

#include <string>
#include <vector>

namespace Sapphire {

/// Parses {"vms":[{"id","address","region","availabilityZone","callerPort","fleetPort","state":"live|leaving"}]}.
/// Unknown members are ignored. Fails with Unavailable if the text is malformed.
[[nodiscard]] Result<std::vector<ListedVm>> parseVmList(const std::string &text);

/// Reads one element of the list; faults are added to the reader.
ListedVm readListedVm(SettingsReader &reader);

/// Returns the text of one element of the list.
std::string listedVmText(const ListedVm &vm);

/// Returns the text that parseVmList() reads.
std::string vmListText(const std::vector<ListedVm> &vms);

} // namespace Sapphire
