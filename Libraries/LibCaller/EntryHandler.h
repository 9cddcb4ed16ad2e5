#pragma once

#include <LibCaller/RegionRouter.h>
#include <LibCaller/RequestStates.h>
#include <LibCaller/ServingState.h>
#include <LibLimit/CustomerLimiter.h>

namespace Sapphire {

/// Runs requests that callers sent to this VM, and those that other VMs forwarded to it.
class EntryHandler final : public RequestHandler
{
public:
    struct Parts
    {
        RegionRouter &router;
        RequestLedger &ledger;
        RequestStates &states;
        FleetPeers &peers;
        CustomerLimiter &limiter;
        ServingState &serving;
        const Clock &clock;
    };

    EntryHandler(Parts parts, VmIncarnation process);

    /// Runs a request of a caller whose key was checked.
    ExchangeReport handleEntry(const RequestHead &head, BodySource &body, AnswerSink &sink);
    /// Runs a request that another VM forwarded: here because of its id, or because its region moves work here.
    ExchangeReport handle(const RequestHead &head, BodySource &body, AnswerSink &sink) override;

private:
    std::optional<Refusal> refuseEarly(const RequestHead &head) const;
    /// Refuses what should not be dispatched any more.
    std::optional<Refusal> refuseLate(const RequestHead &head, const AnswerSink &sink) const;
    std::optional<Refusal> admit(const RequestHead &head);
    /// Makes the verdict of a refusal true for the request id, which an earlier attempt may have run.
    void correctVerdict(const RequestHead &head, Refusal &refusal);
    ExchangeReport runOnce(const RequestHead &head, BodySource &body, AnswerSink &sink, const Fingerprint &fingerprint);
    ExchangeReport sendToIssuer(const VmIncarnation &issuer, const RequestHead &head, BodySource &body,
                                AnswerSink &sink);
    static ExchangeReport replay(const RecordedAnswer &answer, AnswerSink &sink);

    Parts m_parts;
    VmIncarnation m_process;
};

} // namespace Sapphire
