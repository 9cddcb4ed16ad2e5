#pragma once

#include <LibCore/Clock.h>
#include <LibExchange/RequestHandler.h>
#include <LibFleet/Membership.h>
#include <LibFleet/RequestStateSource.h>
#include <LibFleet/SnapshotExchange.h>
#include <LibSteering/Loan.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace sapphire::wire {
class ExchangeRequest;
class ExchangeResponse;
} // namespace sapphire::wire

namespace Sapphire {

namespace wire = sapphire::wire;

struct FleetChannel;

struct FleetClientSettings
{
    /// Addresses ("ip:port") of VMs and those to connect to instead, where addresses are translated between regions.
    std::map<std::string, std::string> addressMap {};
    Milliseconds keepaliveInterval { 2'000 }; ///< A connection without traffic for this long is pinged.
    Milliseconds keepaliveTimeout { 1'000 }; ///< A ping without a response for this long closes the connection.
    Milliseconds longestBackoff { 1'000 }; ///< Between attempts to connect.
    Milliseconds connectTimeout { 500 }; ///< A forwarded request waits no longer than this for a connection.
    Milliseconds idleTimeout { 60'000 }; ///< A channel without calls for this long is closed.
    int timeoutsBeforeReplacement { 2 }; ///< Consecutive timeouts after which a channel is replaced.
    int messageLimit { 4 * 1024 * 1024 }; ///< Maximum size of a received message in bytes.
    int snapshotLimit { 32 * 1024 * 1024 }; ///< Maximum size of a received snapshot in bytes.
};

/// Calls other VMs over gRPC. It keeps channels only to VMs that were called lately. Safe to call from any thread.
class FleetClient final : public LoanClient
{
public:
    /// Called on the thread that called exchange(), for each response in the order of arrival.
    using ResponseTaker = std::function<void(const VmId &, const wire::ExchangeResponse &)>;

    FleetClient(const Membership &membership, const Clock &clock, FleetClientSettings settings = {});
    ~FleetClient() override;

    [[nodiscard]] Result<Loan> borrow(const VmId &lender, const CustomerId &customer, Tokens wanted,
                                      Deadline deadline) override;

    /// Returns a handler that forwards requests to the VM. It must not outlive this client.
    std::unique_ptr<RequestHandler> forward(const VmId &vm);

    /// Fails with NotFound if the VM doesn't know the id, with Unavailable, or with Timeout.
    [[nodiscard]] Result<RemoteRequestState> requestState(const VmId &vm, const CustomerId &customer,
                                                          const RequestId &id, Deadline deadline);
    /// Fetches the whole configuration. Fails with NotFound if the VM has none newer than the given version, with
    /// Unavailable, or with Timeout.
    [[nodiscard]] Result<ConfigurationSnapshot> snapshot(const VmId &vm, ConfigurationVersion version,
                                                         Deadline deadline);
    /// Sends all requests in parallel and waits until each was answered or failed, until the deadline at most. Returns
    /// the VMs that didn't answer.
    std::vector<VmId> exchange(const std::vector<std::pair<VmId, wire::ExchangeRequest>> &requests, Deadline deadline,
                               const ResponseTaker &take);
    /// Notifies all the VMs in parallel that the keys are withdrawn. Returns the number of VMs that acknowledged.
    std::size_t withdraw(const std::vector<VmId> &vms, const std::set<KeyId> &keys, Deadline deadline);

    void closeIdle(TimePoint now);
    std::size_t channelCount() const;

private:
    template<typename Response>
    struct Call;

    [[nodiscard]] Result<std::shared_ptr<FleetChannel>> channel(const VmId &vm);
    std::shared_ptr<FleetChannel> open(const std::string &address) const;
    void noteOutcome(const VmId &vm, const std::shared_ptr<FleetChannel> &channel, bool isTimeout);
    template<typename Response, typename Request, typename Method>
    Result<Response> callUnary(const VmId &vm, Method method, const Request &request, Deadline deadline);
    template<typename Response, typename Request, typename Method, typename Take>
    std::vector<VmId> callAll(const std::vector<std::pair<VmId, Request>> &requests, Method method, Deadline deadline,
                              const Take &take);

    const Membership &m_membership;
    const Clock &m_clock;
    const FleetClientSettings m_settings;

    mutable std::mutex m_mutex;
    std::map<VmId, std::shared_ptr<FleetChannel>> m_channels;
};

} // namespace Sapphire
