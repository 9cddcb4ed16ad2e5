#pragma once

#include <optional>
#include <string>

namespace Sapphire {

/// One HTTP request to the platform.
struct PlatformRequest
{
    std::string method;
    /// Path and query, already percent-encoded.
    std::string path;
    /// Header of the condition, "If-Match" or "If-None-Match"; empty for an unconditional request.
    std::string conditionName;
    std::string conditionValue;
    std::string body;
    std::string contentType {}; ///< Of the body; empty to leave it out.
    std::string epochHeader {}; ///< Header of the answer that tells the platform's epoch; empty if there is none.

    bool isWrite() const
    {
        return method != "GET";
    }
};

/// The platform's complete answer.
struct PlatformAnswer
{
    int status { 0 };
    std::string entityTag;
    std::string body;
    std::optional<std::string> epoch {}; ///< The text of the request's epochHeader, if the answer has it.
};

} // namespace Sapphire
