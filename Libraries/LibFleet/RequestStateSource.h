#pragma once

#include <LibCore/Ids.h>
#include <LibCore/Result.h>

#include <string>

namespace Sapphire {

enum class RemoteRequestStateKind {
    NotRun,
    Running,
    Ran,
    MayHaveRun,
};

/// What another VM knows about a request.
struct RemoteRequestState
{
    RemoteRequestStateKind kind { RemoteRequestStateKind::MayHaveRun };
    std::string result {}; ///< Answer of a request that ran, encoded as in the request journal; may be empty.
};

/// Looks up the state of requests that this VM ran. Safe to call from any thread.
class RequestStateSource
{
public:
    virtual ~RequestStateSource() = default;

    /// Fails with NotFound if this VM doesn't know the request id.
    [[nodiscard]] virtual Result<RemoteRequestState> requestState(const CustomerId &customer, const RequestId &id) = 0;
};

} // namespace Sapphire
