#pragma once

#include <Harness/Expect.h>
#include <LibCore/BootClock.h>
#include <LibCore/Deadline.h>
#include <LibCore/Result.h>
#include <LibPlatform/PlatformClientSettings.h>
#include <StandIns/Platform/PlatformServer.h>

#include <memory>
#include <string>

namespace Sapphire {

inline Deadline deadlineIn(Milliseconds interval)
{
    return Deadline::after(BootClock().now(), interval);
}

/// Runs a platform stand-in in the test's process.
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
        result.minimumCountedWait = Milliseconds(40);
        result.breaker.trialInterval = Milliseconds(100);
        return result;
    }

    std::unique_ptr<PlatformServer> server;
};

} // namespace Sapphire
