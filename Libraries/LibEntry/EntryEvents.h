#pragma once

#include <LibCore/EventLog.h>

namespace Sapphire::EntryEvents {

inline constexpr EventType rulesSourceLost { 12000, "rules-source-lost", Severity::Warning };
inline constexpr EventType rulesSourceBack { 12001, "rules-source-back", Severity::Info };
inline constexpr EventType targetListLost { 12002, "target-list-lost", Severity::Warning };
inline constexpr EventType targetListBack { 12003, "target-list-back", Severity::Info };
inline constexpr EventType vmRegistryLost { 12004, "vm-registry-lost", Severity::Warning };
inline constexpr EventType vmRegistryBack { 12005, "vm-registry-back", Severity::Info };
inline constexpr EventType listRead { 12009, "list-read", Severity::Info };
inline constexpr EventType listTold { 12010, "list-told", Severity::Info };
inline constexpr EventType listTakenOver { 12011, "list-taken-over", Severity::Info };
/// This VM has known for a second that there is a newer list than its own.
inline constexpr EventType listBehind { 12012, "list-behind", Severity::Warning };
/// The rules are now known in a later epoch of the platform, which has come back from an older copy.
inline constexpr EventType platformEpochRisen { 12013, "platform-epoch-risen", Severity::Warning };
/// The older copy lacks the newest configuration or evacuations, which this VM keeps in force.
inline constexpr EventType operatorStateKept { 12014, "operator-state-kept", Severity::Warning };
/// A list that was read is older than the one that this VM has by now, and isn't taken.
inline constexpr EventType outdatedRead { 12015, "outdated-read", Severity::Info };
inline constexpr EventType settingsReloaded { 12006, "settings-reloaded", Severity::Info };
inline constexpr EventType settingsRejected { 12007, "settings-rejected", Severity::Error };
inline constexpr EventType loopOverloaded { 12008, "loop-overloaded", Severity::Error };

} // namespace Sapphire::EntryEvents
