#pragma once

#include <Harness/ChildProcess.h>
#include <LibCore/Result.h>

#include <string>

namespace Sapphire {

/// Sends a request to a control endpoint and returns the answer's body. Fails with InvalidArgument for a status of 400
/// and more, and as HttpCall does.
[[nodiscard]] Result<std::string> controlCall(const std::string &address, const std::string &method,
                                              const std::string &path, const std::string &body);

/// Waits until the process answers control requests. Fails with Unavailable and the error output of the process if it
/// ends or takes too long.
[[nodiscard]] Result<void> waitUntilReady(ChildProcess &process, const std::string &address, const std::string &path);

} // namespace Sapphire
