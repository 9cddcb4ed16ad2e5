#pragma once

#include <Harness/ScratchFolder.h>
#include <Harness/WaitFor.h>
#include <LibCore/Result.h>

#include <doctest/doctest.h>

#include <memory>
#include <type_traits>
#include <utility>

namespace Sapphire {

/// Returns the value of an operation that the test expects to succeed.
template<typename Operation>
auto expect(Operation &&operation)
{
    auto outcome = capture(std::forward<Operation>(operation));
    REQUIRE_MESSAGE(outcome, outcome.error().message);
    if constexpr (!std::is_same_v<decltype(outcome), Outcome<void>>) {
        return std::move(outcome.value());
    }
}

inline std::unique_ptr<ScratchFolder> scratchFolder()
{
    return expect([] {
        return ScratchFolder::create("sapphire-test");
    });
}

} // namespace Sapphire
