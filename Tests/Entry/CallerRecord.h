#pragma once

#include <LibCore/Deadline.h>

#include <algorithm>
#include <array>
#include <string>

namespace Sapphire {

/// One request as its caller saw it.
struct CallerRecord
{
    std::string id;
    std::string method;
    std::string vm; ///< "ip:port" that callers use.
    TimePoint sentAt {};
    TimePoint endedAt {};
    int status { 0 }; ///< 0 if there was no complete answer.
    bool wasRefusedConnection { false }; ///< Nothing was sent.
    std::string body;
    std::string key {};
    bool isOnUsedConnection { false }; ///< The connection had carried a request before.
    bool saidNotRun { false }; ///< The answer says in its headers that no target runs the request.

    /// Returns whether the answer promises that no target runs the request, now or later.
    bool isRefused() const
    {
        constexpr std::array refusals { 408, 421, 429, 503 };
        return saidNotRun || std::find(refusals.begin(), refusals.end(), status) != refusals.end();
    }
};

/// A request that a caller is going to send.
struct CallerRequestPlan
{
    std::string method;
    std::string path;
    std::string id;
    std::string key;
    Milliseconds deadline { 1'500 };
};

} // namespace Sapphire
