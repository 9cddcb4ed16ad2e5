#pragma once

#include <optional>
#include <string_view>

namespace Sapphire {

/// Says whether a request may have run at a target.
enum class Verdict {
    NotRun, ///< No target has run it and none will.
    MayHaveRun, ///< It was sent, and what became of it is unknown.
    Ran, ///< A target has run it and answered.
};

/// Returns the verdict as it stands in the Sapphire-Verdict header.
std::string_view nameOf(Verdict verdict);
/// Returns nothing for a text that is no verdict.
std::optional<Verdict> verdictFromString(std::string_view text);
/// Returns the verdict of a sequence of attempts of which two ended with the given verdicts.
Verdict combine(Verdict first, Verdict second);

} // namespace Sapphire
