#include <LibCore/Verdict.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Sapphire {

namespace {

constexpr std::array<std::pair<Verdict, std::string_view>, 3> verdictNames { {
    { Verdict::NotRun, "not-run" },
    { Verdict::MayHaveRun, "may-have-run" },
    { Verdict::Ran, "ran" },
} };

}

std::string_view nameOf(Verdict verdict)
{
    return verdictNames.at(static_cast<std::size_t>(verdict)).second;
}

std::optional<Verdict> verdictFromString(std::string_view text)
{
    for (const auto &[verdict, name] : verdictNames) {
        if (name == text) {
            return verdict;
        }
    }
    return std::nullopt;
}

Verdict combine(Verdict first, Verdict second)
{
    return std::max(first, second);
}

} // namespace Sapphire
