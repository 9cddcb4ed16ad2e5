#include <Entry/EntryCallers.h>

#include <Entry/CallerConnection.h>

namespace Sapphire {

namespace {

constexpr Milliseconds requestDeadline { 1'500 };
constexpr Milliseconds lookUpInterval { 500 };
constexpr int objectCount = 12;

} // namespace

EntryCallers::EntryCallers(EntryDeployment &deployment, const Settings &settings)
    : m_deployment(deployment), m_settings(settings)
{
    for (int i = 0; i < settings.callers; ++i) {
        m_threads.emplace_back([this, i] {
            run(i);
        });
    }
}

EntryCallers::~EntryCallers()
{
    stop();
}

std::vector<CallerRecord> EntryCallers::stop()
{
    m_isStopped = true;
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return m_records;
}

CallerRecord EntryCallers::send(const std::string &address, const std::string &method, const std::string &path,
                                const std::string &id, const std::string &key, Milliseconds deadline)
{
    return CallerConnection(address).send({ method, path, id, key, deadline });
}

CallerRequestPlan EntryCallers::nextRequest(int caller, int number, RandomSource &random) const
{
    const bool isBooking = random.unit() < m_settings.bookingRatio;
    const std::string object = std::to_string(random.below(objectCount));
    return { isBooking ? "POST" : "GET", (isBooking ? "/book/" : "/read/") + object,
             "c" + std::to_string(caller) + "-" + std::to_string(number), m_settings.key, requestDeadline };
}

void EntryCallers::run(int caller)
{
    RandomSource random(m_settings.seed * 1'000 + static_cast<std::uint64_t>(caller));
    auto lookUpVm = static_cast<std::size_t>(caller);
    std::vector<std::string> addresses;
    std::map<std::string, CallerConnection> connections;
    Deadline lookUpAt;
    const BootClock clock;
    for (int i = 0; !m_isStopped; ++i) {
        if (lookUpAt.hasPassed(clock.now()) || addresses.empty()) {
            const std::vector<std::string> named =
                m_deployment.lookUp(m_deployment.vms()[lookUpVm % m_deployment.vms().size()]);
            addresses = named.empty() ? addresses : named;
            // If a VM answers no look-up, the caller asks the next VM.
            lookUpVm += named.empty() ? 1 : 0;
            lookUpAt = Deadline::after(clock.now(), lookUpInterval);
        }
        if (!addresses.empty()) {
            const CallerRequestPlan plan = nextRequest(caller, i, random);
            const std::string &address = addresses[random.below(addresses.size())];
            const CallerRecord record = m_settings.keepsConnections
                ? connections.try_emplace(address, address).first->second.send(plan)
                : CallerConnection(address).send(plan);
            const std::lock_guard guard(m_mutex);
            m_records.push_back(record);
        }
        std::this_thread::sleep_for(m_settings.pause);
    }
}

} // namespace Sapphire
