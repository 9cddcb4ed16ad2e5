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

/// What a VM knows of a request id.
struct RemoteRequestState
{
    RemoteRequestStateKind kind { RemoteRequestStateKind::MayHaveRun };
    std::string result {}; ///< Of a request that ran, in the encoding of the request journal; may be empty.
};

/// Answers what became of the requests that this VM ran. Safe to call from any thread.
class RequestStateSource
{
public:
    virtual ~RequestStateSource() = default;

    /// Fails with NotFound if this VM knows nothing of the id.
    [[nodiscard]] virtual Result<RemoteRequestState> requestState(const CustomerId &customer, const RequestId &id) = 0;
};

} // namespace Sapphire
