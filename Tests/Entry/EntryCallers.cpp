#include <Entry/EntryCallers.h>

#include <LibCore/RandomSource.h>

namespace Sapphire {

namespace {

constexpr Milliseconds requestDeadline { 1'500 };
constexpr Milliseconds lookUpTime { 500 };
constexpr int objects = 12;

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
    const BootClock clock;
    CallerRecord record { id, method, address, clock.now(), {}, 0, false, "" };
    const Outcome<HttpAnswer> answer = capture([&] {
        return HttpCall { method,
                          "http://" + address + path,
                          { { "Host", "h.example" },
                            { "X-Attempt-Id", id },
                            { "X-Deadline-Ms", std::to_string(deadline.count()) },
                            { "Cookie", "X-Affinity-Key=" + path.substr(path.rfind('/') + 1) },
                            { "Authorization", "Token " + key } },
                          method == "POST" ? "order " + id : "",
                          deadline + Milliseconds(1'000) }
            .run();
    });
    record.endedAt = clock.now();
    if (answer) {
        record.status = answer.value().status;
        record.body = answer.value().body;
    } else {
        record.wasRefusedConnection = answer.error().verdict == Verdict::NotRun;
    }
    return record;
}

void EntryCallers::run(int caller)
{
    RandomSource random(m_settings.seed * 1'000 + static_cast<std::uint64_t>(caller));
    const std::size_t home = static_cast<std::size_t>(caller) % m_deployment.vms().size();
    std::vector<std::string> addresses;
    Deadline lookUpAt;
    const BootClock clock;
    for (int i = 0; !m_isStopped; ++i) {
        if (lookUpAt.hasPassed(clock.now()) || addresses.empty()) {
            const std::vector<std::string> named = m_deployment.lookUp(m_deployment.vms()[home]);
            addresses = named.empty() ? addresses : named;
            lookUpAt = Deadline::after(clock.now(), lookUpTime);
        }
        if (!addresses.empty()) {
            const bool isBooking = random.unit() < m_settings.bookings;
            const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(i);
            const std::string object = std::to_string(random.below(objects));
            const CallerRecord record =
                send(addresses[random.below(addresses.size())], isBooking ? "POST" : "GET",
                     (isBooking ? "/book/" : "/read/") + object, id, m_settings.key, requestDeadline);
            const std::lock_guard guard(m_mutex);
            m_records.push_back(record);
        }
        std::this_thread::sleep_for(m_settings.pause);
    }
}

} // namespace Sapphire
