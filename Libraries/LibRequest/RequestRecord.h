#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Result.h>
#include <LibExchange/Messages.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Sapphire {

enum class RequestState {
    NotRun,
    Running,
    Ran,
    MayHaveRun,
};

std::string_view nameOf(RequestState state);
std::optional<RequestState> requestStateFromString(std::string_view text);

/// The answer to a request, recorded to be sent again if the caller repeats the request.
struct RecordedAnswer
{
    int status { 0 };
    std::vector<HeaderField> headers {};
    std::string body {};
    bool isWhole { false }; ///< False if the body was too long to be kept.
    TargetId target {};
};

/// What is known of one request id of a customer.
struct RequestRecord
{
    RequestState state { RequestState::NotRun };
    VmIncarnation holder; ///< The process that claimed it last.
    std::uint64_t attempt { 0 };
    std::string nonce; ///< Distinguishes claims of the same process.
    RecordedAnswer answer;

    std::string toJson() const;
    /// Fails with DataLoss if the text is not a record.
    [[nodiscard]] static Result<RequestRecord> fromJson(const std::string &text);
};

/// A request id together with the customer whose id it is; customers can't see each other's ids.
struct RequestKey
{
    CustomerId customer;
    RequestId id;

    std::string rowKey() const
    {
        return customer.text() + "/" + id.text();
    }
    friend auto operator<=>(const RequestKey &, const RequestKey &) = default;
};

} // namespace Sapphire
