#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/TraceContext.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Sapphire {

struct HeaderField
{
    std::string name;
    std::string value;
};

/// A request without its body. Never contains the caller's key.
struct RequestHead
{
    ServiceId service;
    CustomerId customer; ///< Empty on routes open to all.
    std::string method;
    std::string path; ///< Path and query at the target, beginning with '/'.
    std::vector<HeaderField> headers {}; ///< End-to-end headers only.
    RequestId id {}; ///< Empty for idempotent requests without an id.
    bool isIdempotent { true };
    Deadline deadline {};
    std::optional<TraceContext> trace {};
    std::optional<std::uint64_t> bodyBytes {}; ///< Empty if the length is not known in advance.
};

struct AnswerHead
{
    int status { 0 };
    std::vector<HeaderField> headers {}; ///< End-to-end headers only.
    std::optional<std::uint64_t> bodyBytes {};
    TargetId target {};
    Locality locality {};
    VmId vm {}; ///< The VM that sent the request to the target.
};

} // namespace Sapphire
