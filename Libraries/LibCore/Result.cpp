#include <LibCore/Result.h>

#include <array>

namespace Sapphire {

std::string_view nameOf(ErrorCode code)
{
    static constexpr std::array<std::string_view, 10> names {
        "invalid-argument", "not-found", "conflict",  "permission-denied", "resource-exhausted",
        "unavailable",      "timeout",   "cancelled", "data-loss",         "internal",
    };
    return names.at(static_cast<std::size_t>(code));
}

} // namespace Sapphire
