#pragma once

#include <LibCore/Deadline.h>
#include <LibCore/Ids.h>
#include <LibCore/Result.h>
#include <LibCore/Verdict.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphire {

/// Why a request got no answer from a target.
enum class RefusalReason {
    BadRequest,
    NoSuchService,
    KeyRejected,
    NotFresh, ///< This VM can't know whether keys were withdrawn.
    RateExceeded,
    NoCapacity,
    NoHealthyTarget,
    ShiftCap, ///< The region weights may not move faster.
    Draining, ///< This VM is stopping.
    DeadlineTooShort,
    DeadlinePassed,
    StoreUnavailable,
    RequestIdInUse, ///< The same request id is or was run already.
    IssuerUnreachable, ///< The VM that issued the request id can't be asked.
    SuspectedCrash, ///< Targets died while they ran this request.
    TargetFailed,
    AnswerCut,
    RetryBudgetSpent,
    Cancelled,
    TooLarge,
    Internal,
};

std::string_view nameOf(RefusalReason reason);
std::optional<RefusalReason> refusalReasonFromString(std::string_view text);
/// Returns the reason with which a request is refused whose body could not be read.
RefusalReason refusalReasonOf(ErrorCode code);

/// A VM that a caller can turn to instead.
struct AlternativeVm
{
    VmId vm;
    std::string callerAddress; ///< "ip:port" of its caller endpoint.
    Locality place;
};

/// The final answer to a request that no target has answered.
struct Refusal
{
    RefusalReason reason { RefusalReason::Internal };
    Verdict verdict { Verdict::NotRun };
    std::string detail;
    std::optional<Deadline> retryAt {};
    std::vector<AlternativeVm> alternatives {};
};

} // namespace Sapphire
