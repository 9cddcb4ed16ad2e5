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
    NotFresh, ///< This VM's state is too old: it can't tell which keys were withdrawn or what other VMs admit.
    RateExceeded,
    NoCapacity,
    NoHealthyTarget,
    ShiftCap, ///< The region weights may not shift faster.
    Draining, ///< This VM is stopping.
    DeadlineTooShort,
    DeadlinePassed,
    StoreUnavailable,
    RequestIdInUse, ///< A request with the same id is running, has run or may have run.
    IssuerUnreachable, ///< The VM that issued the request id can't be reached.
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
/// Returns the reason for refusing a request whose body could not be read.
RefusalReason refusalReasonOf(ErrorCode code);

/// A VM that a caller can use instead.
struct AlternativeVm
{
    VmId vm;
    std::string callerAddress; ///< "ip:port" of its caller endpoint.
    Locality locality;
};

/// The final answer to a request that no target answered.
struct Refusal
{
    RefusalReason reason { RefusalReason::Internal };
    Verdict verdict { Verdict::NotRun };
    std::string detail;
    std::optional<Deadline> retryAt {};
    std::vector<AlternativeVm> alternatives {};
};

} // namespace Sapphire
