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
    /// Address ("ip:port") to use instead of a VM's own one, where addresses are translated between regions.
    std::map<std::string, std::string> addressMap {};
    Milliseconds keepaliveInterval { 2'000 }; ///< A connection that is silent for this long is probed.
    Milliseconds keepaliveTimeout { 1'000 }; ///< A probe without an answer for this long closes the connection.
    Milliseconds longestBackoff { 1'000 }; ///< Between attempts to connect.
    Milliseconds connectLimit { 500 }; ///< A forwarded request waits no longer than this for a connection.
    Milliseconds idleLimit { 60'000 }; ///< A channel that is not used for this long is closed.
    int timeoutsBeforeReplacement { 2 }; ///< Calls in a row without an answer, after which the channel is replaced.
    int messageLimit { 4 * 1024 * 1024 }; ///< Bytes of a received message.
    int snapshotLimit { 32 * 1024 * 1024 }; ///< Bytes of a received snapshot.
};

/// Calls other VMs. It keeps channels only to VMs that were called lately. Safe to call from any thread.
class FleetClient final : public LoanClient
{
public:
    /// Called on the calling thread for each response, in the order of arrival.
    using ResponseTaker = std::function<void(const VmId &, const wire::ExchangeResponse &)>;

    FleetClient(const Membership &membership, const Clock &clock, FleetClientSettings settings = {});
    ~FleetClient() override;

    [[nodiscard]] Result<Loan> borrow(const VmId &lender, const CustomerId &customer, Tokens wanted,
                                      Deadline deadline) override;

    /// Returns a handler that has the VM run requests. It may be kept, but must not outlive this client.
    std::unique_ptr<RequestHandler> forward(const VmId &vm);

    /// Fails with NotFound if the VM knows nothing of the id, Unavailable or Timeout.
    [[nodiscard]] Result<RemoteRequestState> requestState(const VmId &vm, const CustomerId &customer,
                                                          const RequestId &id, Deadline deadline);
    /// Fetches the whole configuration, newer than the given version. Fails with Unavailable or Timeout.
    [[nodiscard]] Result<ConfigurationSnapshot> snapshot(const VmId &vm, ConfigurationVersion version,
                                                         Deadline deadline);
    /// Sends all requests at the same time and returns when each was answered or failed, at the deadline at the
    /// latest. Returns the VMs that didn't answer.
    std::vector<VmId> exchange(const std::vector<std::pair<VmId, wire::ExchangeRequest>> &requests, Deadline deadline,
                               const ResponseTaker &take);
    /// Tells all the VMs at the same time that the keys are withdrawn. Returns the number that acknowledged.
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
