#pragma once

#include <LibCore/Clock.h>
#include <LibExchange/RequestHandler.h>
#include <LibFleet/ExchangeBuilder.h>
#include <LibFleet/FleetWithdrawalSpreader.h>
#include <LibFleet/RequestStateSource.h>
#include <LibFleet/SnapshotExchange.h>
#include <LibSteering/Loan.h>

#include <memory>
#include <string>

namespace Sapphire {

/// What the server passes calls to. All must outlive it.
struct FleetServerParts
{
    ExchangeBuilder &exchange;
    ConfigurationExchange &configuration;
    SnapshotExchange &snapshots;
    Lender &lender;
    RequestHandler &requests; ///< Runs the requests that other VMs forward; called from several threads.
    RequestStateSource &states;
    FleetWithdrawalSpreader &withdrawals;
    const Clock &clock;
};

struct FleetServerSettings
{
    std::string address; ///< Listening address as "ip:port"; port 0 picks a free one.
    int threadLimit { 64 }; ///< Maximum number of threads; each running call occupies one.
    int forwardLimit { 32 }; ///< Concurrent forwarded requests; the other threads stay free for the exchange.
    int messageLimit { 4 * 1024 * 1024 }; ///< Maximum size of a received message in bytes.
    Milliseconds keepaliveInterval { 5'000 };
    Milliseconds keepaliveTimeout { 2'000 };
    Milliseconds leastPingInterval { 500 }; ///< Clients that ping more often are disconnected.
};

/// The gRPC server for calls of other VMs. It uses gRPC's synchronous API with a limited number of threads: a forwarded
/// request blocks its thread in RequestHandler::handle() anyway, and the other calls are short and few.
class FleetServer
{
public:
    /// Fails with Unavailable if the address can't be bound.
    [[nodiscard]] static Result<std::unique_ptr<FleetServer>> create(const FleetServerParts &parts,
                                                                     const FleetServerSettings &settings);
    /// Cancels the calls that are still running.
    ~FleetServer();

    std::uint16_t port() const;
    /// Returns the number of forwarded requests that are running.
    int runningForwards() const;
    /// Accepts no new calls, waits for running ones until the deadline and cancels the rest.
    void shutdown(Deadline deadline);

private:
    class Service;

    FleetServer();

    struct Data;
    std::unique_ptr<Data> m_data;
};

} // namespace Sapphire
