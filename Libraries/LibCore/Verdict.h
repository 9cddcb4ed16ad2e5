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

/// Returns the verdict's name in the Sapphire-Verdict header.
std::string_view nameOf(Verdict verdict);
/// Returns nothing if the text is not the name of a verdict.
std::optional<Verdict> verdictFromString(std::string_view text);
/// Returns the verdict of a request of which two attempts ended with the given verdicts.
Verdict combine(Verdict first, Verdict second);

} // namespace Sapphire
