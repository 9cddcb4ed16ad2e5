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
    /// Runs a request that another VM forwarded, because this VM issued its id or because the other VM's region sends
    /// traffic to this region.
    ExchangeReport handle(const RequestHead &head, BodySource &body, AnswerSink &sink) override;

private:
    std::optional<Refusal> refuseBeforeReading(const RequestHead &head) const;
    /// Refuses a request whose deadline has passed or whose caller has disconnected.
    std::optional<Refusal> refuseBeforeDispatch(const RequestHead &head, const AnswerSink &sink) const;
    std::optional<Refusal> admit(const RequestHead &head);
    /// Corrects the verdict of a refusal if an earlier attempt with the same request id ran or may have run.
    void correctVerdict(const RequestHead &head, Refusal &refusal);
    ExchangeReport runOnce(const RequestHead &head, BodySource &body, AnswerSink &sink, const Fingerprint &fingerprint);
    ExchangeReport sendToIssuer(const VmIncarnation &issuer, const RequestHead &head, BodySource &body,
                                AnswerSink &sink);
    static ExchangeReport replay(const RecordedAnswer &answer, AnswerSink &sink);

    Parts m_parts;
    VmIncarnation m_process;
};

} // namespace Sapphire
