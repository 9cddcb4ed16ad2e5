#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Result.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Sapphire {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// The complete answer to an HttpCall.
struct HttpAnswer
{
    int status { 0 };
    HttpHeaders headers;
    std::string body;

    /// Returns the first header of that name, in any letter case.
    std::optional<std::string> header(const std::string &name) const;
};

/// One HTTP request on a connection of its own, for tests: `HttpCall { "GET", "http://127.0.0.1:80/health" }.run()`.
struct HttpCall
{
    std::string method;
    std::string url; ///< "http://ip:port/path?query"
    HttpHeaders headers;
    std::string body;
    Milliseconds timeout { 5000 };

    /// Blocks until the answer is complete. Fails with InvalidArgument for a wrong URL, Unavailable if the connection
    /// was refused or broke before an answer began, DataLoss if the answer is truncated or malformed, and Timeout.
    /// The error's verdict is MayHaveRun once a byte was sent.
    [[nodiscard]] Result<HttpAnswer> run() const;
};

} // namespace Sapphire
