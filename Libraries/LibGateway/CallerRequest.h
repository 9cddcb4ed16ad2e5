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

/// The head of a caller's request, as far as the gateway interprets or forwards it.
struct CallerRequest
{
    RequestId id; ///< Of this attempt of the caller; empty if it sent none.
    std::string method;
    std::string target; ///< Path and query.
    std::string host;
    std::vector<HeaderField> headers; ///< Those that are forwarded unchanged.
    Deadline deadline { Deadline::never() }; ///< When the caller gives up.
    std::string object; ///< The object that the request concerns; empty if it names none.
    std::string key; ///< The customer's key; never logged or forwarded.
    std::optional<std::uint64_t> bodyBytes; ///< Nothing if the body uses chunked encoding.

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

/// Fails with InvalidArgument unless the head has exactly one Host header, a path that begins with '/' and, if there is
/// a deadline header, a number of milliseconds in it that is not negative.
[[nodiscard]] Result<CallerRequest> readCallerRequest(const HttpHead &head, const WireNames &names, TimePoint now);

/// What the head of a request to a target is made of.
struct TargetRequestHead
{
    const CallerRequest &request;
    TargetId target;
    CustomerId customer; ///< Empty if the request belongs to none.
    Deadline deadline;
    std::optional<std::uint64_t> bodyBytes; ///< Nothing if the body uses chunked encoding.
};

/// Returns the request line and the headers, with the empty line that ends them.
std::string writeTargetRequest(const TargetRequestHead &head, const WireNames &names, TimePoint now);

/// Returns the end-to-end headers of a target's answer, which the caller gets.
std::vector<HeaderField> headersForCaller(const HttpHead &head);

} // namespace Sapphire
