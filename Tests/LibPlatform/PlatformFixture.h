#pragma once

#include <LibCore/BootClock.h>
#include <LibCore/Deadline.h>
#include <LibCore/Result.h>
#include <LibPlatform/PlatformClientSettings.h>
#include <StandIns/Platform/PlatformServer.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>
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

inline Deadline in(Milliseconds interval)
{
    return Deadline::after(BootClock().now(), interval);
}

/// A platform stand-in in the test's process.
struct PlatformFixture
{
    PlatformFixture()
        : server(expect([] {
            return PlatformServer::create({});
        }))
    {
    }

    PlatformClientSettings settings() const
    {
        PlatformClientSettings result;
        result.address = server->address();
        result.shortestTellingWait = Milliseconds(40);
        result.breaker.trialInterval = Milliseconds(100);
        return result;
    }

    std::unique_ptr<PlatformServer> server;
};

} // namespace Sapphire
