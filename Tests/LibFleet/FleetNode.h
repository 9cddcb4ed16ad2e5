#pragma once

#include <LibCore/BootClock.h>
#include <LibFleet/FleetServer.h>
#include <LibFleet/Gossiper.h>

#include "FleetFakes.h"
#include "SilentProxy.h"

#include <functional>
#include <memory>

namespace Sapphire {

class FakeLender final : public Lender
{
public:
    Result<Loan> lend(const CustomerId &customer, Tokens wanted, const VmIncarnation &borrower, TimePoint now) override
    {
        const std::lock_guard guard(m_mutex);
        if (customer.text() == "stopped") {
            return fail(ErrorCode::Unavailable, "this VM admits nothing");
        }
        lastBorrower = borrower;
        lastDeadline = Deadline::after(now, Milliseconds(1'500));
        return Loan { customer, Tokens(std::min<std::int64_t>(wanted.value(), 3)), lastDeadline,
                      Deadline::after(now, Milliseconds(250)) };
    }

    VmIncarnation lastBorrower;
    Deadline lastDeadline;

private:
    std::mutex m_mutex;
};

class FakeRequestStateSource final : public RequestStateSource
{
public:
    Result<RemoteRequestState> requestState(const CustomerId &customer, const RequestId &id) override
    {
        if (id.text() != "r-1" || customer.text() != "limpieza") {
            return fail(ErrorCode::NotFound, "no request " + id.text());
        }
        return RemoteRequestState { RemoteRequestStateKind::Ran, "done" };
    }
};

class FakeSnapshotExchange final : public SnapshotExchange
{
public:
    explicit FakeSnapshotExchange(FakeConfigurationExchange &configuration) : m_configuration(configuration)
    {
    }

    Result<ConfigurationSnapshot> snapshot() override
    {
        return ConfigurationSnapshot { m_configuration.version(), "text" };
    }
    Result<void> takeSnapshot(const ConfigurationSnapshot &snapshot) override
    {
        if (snapshot.text != "text") {
            return fail(ErrorCode::InvalidArgument, "found " + snapshot.text);
        }
        m_configuration.setVersion(snapshot.version);
        return {};
    }

private:
    FakeConfigurationExchange &m_configuration;
};

/// Handles forwarded requests with a function that the test sets.
class FakeRequestHandler final : public RequestHandler
{
public:
    ExchangeReport handle(const RequestHead &head, BodySource &body, AnswerSink &sink) override
    {
        return run(head, body, sink);
    }

    std::function<ExchangeReport(const RequestHead &, BodySource &, AnswerSink &)> run;
};

/// A VM with a real fleet server and client on the loopback address.
struct FleetNode
{
    FleetNode(const std::string &vm, const std::string &region, const std::string &zone,
              const std::map<std::string, std::string> &addressMap = {}, std::uint16_t fleetPort = freePort())
        : port(fleetPort)
        , locality { RegionId(region), AvailabilityZoneId(zone) }
        , membership({ VmId(vm), Incarnation(1) }, locality, { "127.0.0.1", 80, port })
        , configuration(membership.self(), locality.region)
        , exchange(membership, configuration, reports, suspects, exchangeSettings())
        , client(membership, clock, { addressMap })
        , withdrawals(client, membership, clock)
        , snapshots(configuration)
        , gossip({ client, exchange, membership, configuration, snapshots, withdrawals, clock })
    {
        startServer({});
    }

    void startServer(FleetServerSettings settings)
    {
        settings.address = "127.0.0.1:" + std::to_string(port);
        auto created = capture([&] {
            return FleetServer::create(
                { exchange, configuration, snapshots, lender, handler, states, withdrawals, clock }, settings);
        });
        if (!created) {
            throw std::runtime_error(created.error().message);
        }
        server = std::move(created.value());
    }

    /// Settings for rounds without the usual interval of a second.
    static ExchangeBuilderSettings exchangeSettings()
    {
        ExchangeBuilderSettings settings;
        settings.summaryRefresh = Milliseconds(0);
        settings.regionRefresh = Milliseconds(0);
        return settings;
    }

    ListedVm listed() const
    {
        return { membership.self().vm, locality, { "127.0.0.1", 80, port }, false };
    }
    void tick()
    {
        gossip.tick(clock.now());
    }

    BootClock clock;
    const std::uint16_t port;
    const Locality locality;
    Membership membership;
    FakeConfigurationExchange configuration;
    FakeTargetReportExchange reports;
    FakeCrashSuspectExchange suspects;
    ExchangeBuilder exchange;
    FleetClient client;
    FleetWithdrawalSpreader withdrawals;
    FakeSnapshotExchange snapshots;
    FakeLender lender;
    FakeRequestHandler handler;
    FakeRequestStateSource states;
    Gossiper gossip;
    std::unique_ptr<FleetServer> server;
};

/// Several VMs, each with all of them on its list.
struct FleetNodes
{
    explicit FleetNodes(std::vector<std::unique_ptr<FleetNode>> started) : nodes(std::move(started))
    {
        std::vector<ListedVm> list;
        for (const auto &node : nodes) {
            list.push_back(node->listed());
        }
        for (const auto &node : nodes) {
            node->membership.takeList(list, node->clock.now());
        }
    }

    FleetNode &operator[](std::size_t index)
    {
        return *nodes[index];
    }

    std::vector<std::unique_ptr<FleetNode>> nodes;
};

/// Starts VMs "vm-0", "vm-1" and so on at the given localities ("region/zone").
inline FleetNodes startNodes(const std::vector<std::pair<std::string, std::string>> &localities)
{
    std::vector<std::unique_ptr<FleetNode>> nodes;
    nodes.reserve(localities.size());
    for (const auto &[region, zone] : localities) {
        nodes.push_back(std::make_unique<FleetNode>("vm-" + std::to_string(nodes.size()), region, zone));
    }
    return FleetNodes(std::move(nodes));
}

/// Waits until the condition holds, at most for the limit. Returns whether it holds.
inline bool waitUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    const BootClock clock;
    const Deadline deadline = Deadline::after(clock.now(), limit);
    while (!condition()) {
        if (deadline.hasPassed(clock.now())) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return true;
}

} // namespace Sapphire
