#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibGateway/WireNames.h>
#include <LibNet/HttpParser.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphire {

/// What a caller's request says before its body.
struct CallerRequest
{
    RequestId id; ///< Of this attempt of the caller; empty if it names none.
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::vector<HeaderField> headers; ///< Those that are passed on unchanged.
    Deadline deadline { Deadline::never() }; ///< When the caller gives up.
    std::string object; ///< That the request concerns; empty if it names none.
    std::string key; ///< Of the customer; never logged or passed on.
    std::optional<std::uint64_t> bodyBytes; ///< Nothing if it comes in chunks.

    /// The target without the query.
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
    bool isHead() const
    {
        return method == "HEAD";
    }
};

/// Fails with InvalidArgument if the head lacks what every request needs or contradicts itself.
[[nodiscard]] Result<CallerRequest> readCallerRequest(const HttpHead &head, const WireNames &names, TimePoint now);

/// What a target is told beside the caller's request.
struct TargetRequestHead
{
    const CallerRequest &request;
    TargetId target;
    CustomerId customer; ///< Empty if the request belongs to none.
    Deadline deadline;
    std::optional<std::uint64_t> bodyBytes; ///< Nothing if the body is sent in chunks.
};

/// Returns the request line and the headers, with the empty line that ends them.
std::string writeTargetRequest(const TargetRequestHead &head, const WireNames &names, TimePoint now);

/// Returns the headers of a target's answer that the caller may see.
std::vector<HeaderField> headersForCaller(const HttpHead &head);

} // namespace Sapphire
